package fulmarbalancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

var now = time.Unix(1000, 0)

func candidates(n int) []fulmarbalancer.Candidate {
	out := make([]fulmarbalancer.Candidate, n)
	for i := range out {
		out[i] = fulmarbalancer.Candidate{ID: fmt.Sprint(i), Slots: 3}
	}
	return out
}

// chosen returns how often each of the candidates is chosen.
func chosen(b *fulmarbalancer.Balancer, list []fulmarbalancer.Candidate) map[int]int {
	out := make(map[int]int)
	for range 200 {
		out[b.Choose(now, slices.Values(list), 4)]++
	}
	return out
}

func newBalancer() *fulmarbalancer.Balancer { return fulmarbalancer.New(2, rand.NewPCG(1, 2)) }

func TestChoose(t *testing.T) {
	// Guards against connections to all targets while a few have free slots.
	t.Run("prefers the first targets while they have free slots", func(t *testing.T) {
		g := NewWithT(t)
		for i := range chosen(newBalancer(), candidates(9)) {
			g.Expect(i).To(BeElementOf(0, 1))
		}
	})

	// Guards against requests that ask for a permit of a target in need while others are free.
	t.Run("avoids targets in need", func(t *testing.T) {
		g := NewWithT(t)
		list := candidates(9)
		list[0].InNeed = true
		for i := range chosen(newBalancer(), list) {
			g.Expect(i).NotTo(BeZero())
		}
	})

	// Guards against requests that queue at a busy target while others have free slots.
	t.Run("chooses later targets when the first ones are busy", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		for _, id := range []string{"0", "1"} {
			b.RecordLoad(now, id, fulmarbalancer.Load{Running: 3, Waiting: 6, Slots: 3})
		}
		for i := range chosen(b, candidates(9)) {
			g.Expect(i).To(BeNumerically(">", 1))
		}
	})

	// Guards against requests that go to a target whose machine is slow at the moment, as it states itself.
	t.Run("avoids a target that reports slow work", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		b.RecordLoad(now, "0", fulmarbalancer.Load{Slots: 3, Slowdown: 3})
		b.RecordLoad(now, "1", fulmarbalancer.Load{Slots: 3, Slowdown: 1})
		g.Expect(chosen(b, candidates(2))[0]).To(BeZero())
	})

	// Guards against daemons that avoid a target because of an outdated load report.
	t.Run("lets reported load decay", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		b.RecordLoad(now.Add(-2*time.Second), "0", fulmarbalancer.Load{Running: 3, Waiting: 9, Slots: 3, Slowdown: 3})
		g.Expect(chosen(b, candidates(2))[0]).To(BeNumerically(">", 50))
	})

	// Guards against a target whose fast failures look like low load and attract all requests.
	t.Run("avoids targets that failed recently", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		b.RecordFailure(now, "0")
		b.RecordFailure(now, "0")
		g.Expect(chosen(b, candidates(2))[0]).To(BeZero())
	})

	t.Run("prefers faster targets", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		for range 30 {
			b.RecordServed("0", 300*time.Millisecond)
			b.RecordServed("1", 50*time.Millisecond)
		}
		g.Expect(chosen(b, candidates(2))[1]).To(Equal(200))
	})

	// Guards against more requests of one daemon in flight at a target than the limit.
	t.Run("returns no target when all are at the limit", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		for range 4 {
			g.Expect(b.Acquire("0", 4)).To(BeTrue())
			g.Expect(b.Acquire("1", 4)).To(BeTrue())
		}
		g.Expect(b.Acquire("0", 4)).To(BeFalse())
		g.Expect(b.Choose(now, slices.Values(candidates(2)), 4)).To(Equal(-1))
		b.Release("1")
		g.Expect(b.Choose(now, slices.Values(candidates(2)), 4)).To(Equal(1))
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			balancer, list := newBalancer(), candidates(n)
			for _, c := range list {
				balancer.RecordLoad(now, c.ID, fulmarbalancer.Load{Running: 3, Waiting: 3, Slots: 3})
			}
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose(now, slices.Values(list), 4)
			}
		})
	}
}

func TestAbandoned(t *testing.T) {
	t.Run("counts requests without a response", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		for range 10 {
			b.RecordAbandoned("0", time.Second)
		}
		g.Expect(b.TakeSamples()).To(HaveKeyWithValue("0", fulmarbalancer.Sample{Abandoned: 10, AbandonedTime: 10 * time.Second}))
	})

	// Guards against callers that cancel early and make targets look fast.
	t.Run("ignores requests that were cancelled early", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		for range 10 {
			b.RecordServed("0", 200*time.Millisecond)
			b.RecordAbandoned("0", 20*time.Millisecond)
		}
		g.Expect(b.TakeSamples()).To(HaveKeyWithValue("0", fulmarbalancer.Sample{Served: 10, ServedTime: 2 * time.Second}))
	})

	t.Run("excludes the time in the queue", func(t *testing.T) {
		g := NewWithT(t)
		b := newBalancer()
		b.RecordLoad(now, "0", fulmarbalancer.Load{Running: 3, Waiting: 9, Slots: 3})
		b.RecordAbandoned("0", time.Second)
		g.Expect(b.TakeSamples()).To(
			HaveKeyWithValue("0", fulmarbalancer.Sample{Abandoned: 1, AbandonedTime: 250 * time.Millisecond}))
	})
}
