package fulmarcrash_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const work = 1

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func crash(target, seconds int) fulmarcrash.Crash {
	return fulmarcrash.Crash{Target: fulmarrange.Incarnation{ID: fmt.Sprint("t", target), Born: 1}, At: at(seconds)}
}

func expectCondemned(g *WithT, b *fulmarcrash.Board, now time.Time, want bool) {
	_, ok := b.Condemned(now, work)
	g.ExpectWithOffset(1, ok).To(Equal(want))
}

// Guards against requests that are refused too late, or although they do not crash their targets.
func TestCondemned(t *testing.T) {
	t.Run("three targets", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarcrash.New()
		for n := range 3 {
			expectCondemned(g, b, at(n), false)
			b.RecordCrash(work, crash(n, n))
		}
		expectCondemned(g, b, at(3), true)
		expectCondemned(g, b, at(3600), false)
	})
	t.Run("the same target as several daemons saw it", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarcrash.New()
		for n := range 5 {
			b.RecordCrash(work, crash(1, n))
		}
		expectCondemned(g, b, at(5), false)
	})
	t.Run("an answer before the first crash is known", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarcrash.New()
		g.Expect(b.RecordAnswer(at(3), work)).To(BeFalse())
		b.RecordAnswer(at(3), work+1)
		before := b.Version()
		b.Merge([]fulmarcrash.Record{{Work: work, Crashes: []fulmarcrash.Crash{crash(1, 1), crash(2, 2), crash(3, 4)}}})
		expectCondemned(g, b, at(5), false)
		g.Expect(b.Changes(before, b.Version())).To(HaveLen(1), "that the suspicion ended")
		b.Merge([]fulmarcrash.Record{{Work: work, Crashes: []fulmarcrash.Crash{crash(4, 5), crash(5, 6)}}})
		expectCondemned(g, b, at(7), true)
	})
	t.Run("crashes before an answer that others do not know", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarcrash.New()
		b.RecordAnswer(at(3), work)
		b.Merge([]fulmarcrash.Record{{Work: work, Crashes: []fulmarcrash.Crash{crash(2, 4), crash(3, 5)}}})
		before := b.Version()
		g.Expect(b.Merge([]fulmarcrash.Record{{Work: work, Crashes: []fulmarcrash.Crash{crash(1, 1), crash(2, 4), crash(3, 5)}}})).To(BeTrue())
		g.Expect(b.Changes(before, b.Version())).To(HaveLen(1), "that the suspicion ended")
		expectCondemned(g, b, at(6), false)
	})
	t.Run("an answer in between", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarcrash.New()
		b.RecordCrash(work, crash(1, 1))
		b.RecordCrash(work, crash(2, 2))
		g.Expect(b.RecordAnswer(at(3), work)).To(BeTrue())
		b.RecordCrash(work, crash(3, 4))
		b.Merge([]fulmarcrash.Record{{Work: work, Crashes: []fulmarcrash.Crash{crash(1, 1), crash(2, 2)}}})
		expectCondemned(g, b, at(5), false)
		g.Expect(b.RecordAnswer(at(6), 99)).To(BeFalse(), "work that is not suspected")
	})
}

// Guards against work that stays condemned although one of its targets turns out not to have ended.
func TestLife(t *testing.T) {
	condemned := func() *fulmarcrash.Board {
		b := fulmarcrash.New()
		for n := range 3 {
			b.RecordCrash(work, crash(n, n))
		}
		return b
	}
	for _, c := range []struct {
		name   string
		target fulmarrange.Incarnation
		sentAt time.Time
		taken  bool
	}{
		{"a target that ran a later request", crash(0, 0).Target, at(1), true},
		{"a target that ran an earlier request", crash(0, 0).Target, at(0), false},
		{"the next incarnation of a target", fulmarrange.Incarnation{ID: "t0", Born: 2}, at(9), false},
		{"another target", crash(7, 0).Target, at(9), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, b := NewWithT(t), condemned()
			before := b.Version()
			g.Expect(b.RecordLife(c.target, c.sentAt)).To(Equal(c.taken))
			expectCondemned(g, b, at(9), !c.taken)
			g.Expect(b.Changes(before, b.Version())).To(HaveLen(map[bool]int{true: 1}[c.taken]), "others learn of it")
			g.Expect(b.RecordLife(c.target, c.sentAt)).To(BeFalse(), "again")
		})
	}
	t.Run("a crash that is learned later", func(t *testing.T) {
		g, b := NewWithT(t), fulmarcrash.New()
		b.RecordCrash(work, crash(0, 0))
		g.Expect(b.RecordLife(crash(1, 0).Target, at(9))).To(BeFalse())
		b.RecordCrash(work, crash(1, 1))
		g.Expect(b.RecordLife(crash(1, 0).Target, at(9))).To(BeTrue())
	})
}

// Guards against all requests at targets that end together being sent to all daemons.
func TestShared(t *testing.T) {
	g := NewWithT(t)
	b := fulmarcrash.New()
	for n := range 3000 {
		b.RecordCrash(uint64(n), crash(1, 1))
	}
	g.Expect(b.Version()).To(BeZero())
	g.Expect(b.Shared()).To(BeEmpty())
	g.Expect(len(b.Records())).To(BeNumerically("<=", 1024))
	b.RecordCrash(7777, crash(1, 1))
	b.RecordCrash(7777, crash(2, 2))
	g.Expect(b.Changes(0, b.Version())).To(HaveLen(1))
	before := b.Version()
	g.Expect(b.RecordAnswer(at(3), 7777)).To(BeTrue())
	g.Expect(b.Changes(before, b.Version())).To(HaveLen(1), "that the suspicion ended")
	g.Expect(b.Shared()).To(BeEmpty())
	b.Expire(at(3600))
	g.Expect(b.IsEmpty()).To(BeTrue())
}

// Guards against records that depend on the order in which daemons hear of crashes, or on how often.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []fulmarcrash.Record
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			when := rapid.IntRange(0, 20).Draw(t, "at")
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				events = append(events, fulmarcrash.Record{Work: work, AnsweredAt: at(when)})
				continue
			}
			target := rapid.IntRange(0, 5).Draw(t, "target")
			events = append(events, fulmarcrash.Record{Work: work, Crashes: []fulmarcrash.Crash{crash(target, 3*target+1)}})
		}
		order := rapid.Permutation(events).Draw(t, "order")
		one, other := fulmarcrash.Record{Work: work}, fulmarcrash.Record{Work: work}
		for _, e := range events {
			one = one.Merge(e)
		}
		for _, e := range append(order, order...) {
			other = other.Merge(e)
		}
		if !one.SameCrashes(other) || !one.AnsweredAt.Equal(other.AnsweredAt) {
			t.Fatalf("%v in another order: %v", one, other)
		}
	})
}

// Guards against damaged messages.
func TestAged(t *testing.T) {
	g := NewWithT(t)
	record := fulmarcrash.Record{Work: work}.WithAnswer(at(1)).WithCrash(crash(1, 2)).WithCrash(crash(2, 3))
	aged := fulmarcrash.NewAged(at(10), []fulmarcrash.Record{record})
	g.Expect(aged[0].Record(at(10))).To(Equal(record))
	damaged := fulmarcrash.Aged{Work: work, Answered: true, Age: -time.Hour, Crashes: make([]fulmarcrash.AgedCrash, 1000)}
	for i := range damaged.Crashes {
		damaged.Crashes[i] = fulmarcrash.AgedCrash{Target: fmt.Sprint(i), Age: -time.Hour}
	}
	got := damaged.Record(at(10))
	g.Expect(got.AnsweredAt).To(Equal(at(10)))
	g.Expect(got.Crashes).To(BeEmpty(), "no crash is later than now")
}
