package fulmardedup_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
)

const skew = 100 * time.Millisecond

var (
	origin   = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	settings = fulmardedup.Settings{Retention: 2 * time.Second, MaxSkew: skew, MaxBody: 8}
)

// newID returns a UUID version 7 of the given time and number.
func newID(at time.Time, n int) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	binary.BigEndian.PutUint32(id[12:], uint32(n))
	return id
}

// expectVerdict begins a request of slot 0 with key hash 7. Only the verdicts Run,
// Wait and Replay come with an entry.
func expectVerdict(m *fulmardedup.Memory, now time.Time, id uuid.UUID, want fulmardedup.Verdict) *fulmardedup.Entry {
	GinkgoHelper()
	v, e := m.Begin(now, 0, 7, id)
	Expect(v).To(Equal(want))
	Expect(e != nil).To(Equal(want <= fulmardedup.Replay))
	return e
}

// newOpenMemory returns a memory whose slot 0 was opened at origin, and a time one
// second later.
func newOpenMemory(s fulmardedup.Settings) (*fulmardedup.Memory, time.Time) {
	m := fulmardedup.New(s)
	m.Open(origin, 0)
	return m, origin.Add(time.Second)
}

var _ = Describe("Memory", func() {
	// Guards against running a duplicate again and against lost answers.
	It("lets duplicates wait, replays answers and drops abandoned ids", func() {
		m, now := newOpenMemory(settings)
		first := expectVerdict(m, now, newID(now, 1), fulmardedup.Run)
		Expect(expectVerdict(m, now, newID(now, 1), fulmardedup.Wait)).To(BeIdenticalTo(first))
		Expect(first.Done()).NotTo(BeClosed())
		m.Finish(first, fulmardedup.Answer{Status: 200, Body: []byte("full")})
		Expect(first.Done()).To(BeClosed())
		Expect(expectVerdict(m, now, newID(now, 1), fulmardedup.Replay).Answer().Body).To(BeEquivalentTo("full"))

		second := expectVerdict(m, now, newID(now, 2), fulmardedup.Run)
		m.Abandon(second, fulmardedup.Answer{Outcome: "not-run"})
		Expect(second.Answer().Outcome).To(Equal("not-run"))
		expectVerdict(m, now, newID(now, 2), fulmardedup.Run)
	})

	// Guards against running ids that an earlier dispatcher may have run.
	It("accepts or rejects ids by their time", func() {
		m, now := newOpenMemory(settings)
		for name, c := range map[string]struct {
			id   uuid.UUID
			want fulmardedup.Verdict
		}{
			"at the horizon":    {newID(origin.Add(2*skew), 1), fulmardedup.Unknown},
			"after the horizon": {newID(origin.Add(2*skew+time.Millisecond), 2), fulmardedup.Run},
			"ahead":             {newID(now.Add(skew+time.Millisecond), 3), fulmardedup.AheadOfClock},
			"at the skew bound": {newID(now.Add(skew), 4), fulmardedup.Run},
			"version 4":         {uuid.MustParse("b4c9f6b0-1f5e-4a53-9d0c-3f4f9b7d8f10"), fulmardedup.Unknown},
			"nil id":            {uuid.Nil, fulmardedup.Unknown},
		} {
			By(name)
			expectVerdict(m, now, c.id, c.want)
		}
		v, _ := m.Begin(now, 1, 7, newID(now, 5))
		Expect(v).To(Equal(fulmardedup.Unknown))
	})

	// Guards against unbounded memory, and against eviction that leaves the horizon unchanged.
	It("raises the horizon when it evicts", func() {
		s := settings
		s.MaxIDs = 2
		m, now := newOpenMemory(s)
		for i := range 3 {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			m.Finish(expectVerdict(m, now, newID(at, i), fulmardedup.Run), fulmardedup.Answer{})
		}
		Expect(m.Len()).To(Equal(2))
		expectVerdict(m, now, newID(now, 0), fulmardedup.Unknown)
		expectVerdict(m, now, newID(now.Add(10*time.Millisecond), 1), fulmardedup.Replay)
		m.Expire(now.Add(5 * time.Second))
		Expect(m.Len()).To(BeZero())
		expectVerdict(m, now.Add(5*time.Second), newID(now.Add(10*time.Millisecond), 1), fulmardedup.Unknown)
	})

	// Guards against unbounded bytes; the id must be kept when its body is dropped.
	It("drops bodies, not ids, beyond the limit on bytes", func() {
		s := settings
		s.MaxBytes = 10
		m, now := newOpenMemory(s)
		for i := range 2 {
			e := expectVerdict(m, now, newID(now, i), fulmardedup.Run)
			m.Finish(e, fulmardedup.Answer{Body: []byte("12345678")})
		}
		Expect(expectVerdict(m, now, newID(now, 0), fulmardedup.Replay).Answer().BodyDropped).To(BeTrue())
		Expect(expectVerdict(m, now, newID(now, 1), fulmardedup.Replay).Answer().BodyDropped).To(BeFalse())
		large := expectVerdict(m, now, newID(now, 2), fulmardedup.Run)
		m.Finish(large, fulmardedup.Answer{Body: make([]byte, 9)})
		Expect(large.Answer().BodyDropped).To(BeTrue())
	})

	// Guards against panics or double counting when work ends after its slot was closed.
	It("finishes entries of a closed slot", func() {
		m, now := newOpenMemory(settings)
		e := expectVerdict(m, now, newID(now, 1), fulmardedup.Run)
		m.Close(0)
		m.Finish(e, fulmardedup.Answer{Status: 200, Body: []byte("x")})
		Expect(e.Answer().Status).To(Equal(200))
		Expect(m.Len()).To(BeZero())
	})

	// Guards against running an id twice in any sequence of calls, handovers
	// and losses of dispatchers while clocks differ by up to the bound.
	It("runs an id at most once", func() {
		rapid.Check(GinkgoT(), checkAtMostOnce)
	})
})

// checkAtMostOnce models one table slot and the slot of one of its hot keys. One
// dispatcher at a time owns both; its successor either imports its snapshot or,
// after a loss, opens new slots.
func checkAtMostOnce(t *rapid.T) {
	const parent, hot, hotHash = 0, 1, 42
	s := settings
	s.MaxIDs = rapid.IntRange(1, 8).Draw(t, "limit")
	now, split := origin, false
	var offset time.Duration
	clock := func() time.Time { return now.Add(offset) }
	slotOf := func(hash uint64) int {
		if split && hash == hotHash {
			return hot
		}
		return parent
	}
	// newMemory returns the memory of a new dispatcher, whose clock has another offset.
	newMemory := func(t *rapid.T) *fulmardedup.Memory {
		offset = time.Duration(rapid.IntRange(0, int(skew/time.Millisecond)).Draw(t, "offset")) * time.Millisecond
		return fulmardedup.New(s)
	}
	m := newMemory(t)
	m.Open(clock(), parent)
	type request struct {
		id   uuid.UUID
		hash uint64
		runs int
	}
	var requests []*request
	inflight := map[*request]*fulmardedup.Entry{}
	attempt := func(r *request) {
		v, e := m.Begin(clock(), slotOf(r.hash), r.hash, r.id)
		if v == fulmardedup.Run {
			if r.runs++; r.runs > 1 {
				t.Fatalf("id %v runs twice", r.id)
			}
			inflight[r] = e
		}
	}
	oldest := func() *request {
		for _, r := range requests {
			if inflight[r] != nil {
				return r
			}
		}
		return nil
	}
	t.Repeat(map[string]func(*rapid.T){
		"new": func(t *rapid.T) {
			at := now.Add(time.Duration(rapid.IntRange(-300, 300).Draw(t, "at")) * time.Millisecond)
			r := &request{id: newID(at, len(requests)), hash: uint64(rapid.IntRange(41, 42).Draw(t, "hash"))}
			requests = append(requests, r)
			attempt(r)
		},
		"again": func(t *rapid.T) {
			if len(requests) > 0 {
				attempt(requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")])
			}
		},
		"finish": func(*rapid.T) {
			if r := oldest(); r != nil {
				m.Finish(inflight[r], fulmardedup.Answer{Status: 200, Body: []byte("x")})
				delete(inflight, r)
			}
		},
		"abandon": func(*rapid.T) {
			if r := oldest(); r != nil {
				m.Abandon(inflight[r], fulmardedup.Answer{Outcome: "not-run"})
				r.runs--
				delete(inflight, r)
			}
		},
		"pass": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "time")) * time.Millisecond)
		},
		"expire": func(*rapid.T) { m.Expire(clock()) },
		"split": func(*rapid.T) {
			if !split {
				m.Split(parent, hot, hotHash)
				split = true
			}
		},
		"join": func(*rapid.T) {
			if split {
				m.Join(parent, hot)
				split = false
			}
		},
		"handover": func(t *rapid.T) {
			snapshot := m.Export([]int{parent, hot})
			m = newMemory(t)
			if rapid.Bool().Draw(t, "opened") {
				m.Open(clock(), parent)
			}
			m.Import(snapshot)
			clear(inflight)
		},
		"loss": func(t *rapid.T) {
			m = newMemory(t)
			m.Open(clock(), parent)
			m.Split(parent, hot, hotHash)
			split = true
			clear(inflight)
		},
	})
}

func ExampleMemory() {
	m := fulmardedup.New(fulmardedup.Settings{Retention: 10 * time.Minute, MaxSkew: 100 * time.Millisecond, MaxBody: 64 << 10})
	m.Open(origin, 0)
	now := origin.Add(time.Second)
	_, e := m.Begin(now, 0, 7, newID(now, 1))
	m.Finish(e, fulmardedup.Answer{Status: 201})
	v, e := m.Begin(now, 0, 7, newID(now, 1))
	fmt.Println(v == fulmardedup.Replay, e.Answer().Status)
	// Output: true 201
}

func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("ids=%d", size), func(b *testing.B) {
			s := settings
			s.Retention, s.MaxIDs = time.Hour, size
			m, now := newOpenMemory(s)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				at := now.Add(time.Duration(n) * time.Microsecond)
				if v, e := m.Begin(at, 0, 7, newID(at, n)); v == fulmardedup.Run {
					m.Finish(e, fulmardedup.Answer{Status: 200})
				}
			}
		})
	}
}
