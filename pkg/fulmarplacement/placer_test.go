package fulmarplacement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplacement"
)

var start = time.Unix(1000, 0)

// candidates returns n targets with three slots each.
func candidates(n int) []fulmarbalancer.Candidate {
	out := make([]fulmarbalancer.Candidate, n)
	for i := range out {
		out[i] = fulmarbalancer.Candidate{ID: fmt.Sprint(i), Slots: 3}
	}
	return out
}

// place places one request of each daemon and returns how many each target gets.
func place(g Gomega, p *fulmarplacement.Placer, now time.Time, list []fulmarbalancer.Candidate, daemons ...string) map[string]int {
	out := make(map[string]int)
	for _, d := range daemons {
		p.Record(now, d, false, nil)
		target, ok := p.Place(now, d, slices.Values(list))
		g.Expect(ok).To(BeTrue())
		out[target]++
	}
	return out
}

func daemons(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("d", i)
	}
	return out
}

func newPlacer() *fulmarplacement.Placer { return fulmarplacement.New(rand.NewPCG(1, 2)) }

func TestPlacer(t *testing.T) {
	// Guards against daemons that choose the same target at the same time, as none knows of the others' requests.
	t.Run("spreads the requests of the fleet", func(t *testing.T) {
		g := NewWithT(t)
		for _, n := range place(g, newPlacer(), start, candidates(4), daemons(12)...) {
			g.Expect(n).To(Equal(3))
		}
	})

	// Guards against requests that go to a target of which another daemon has learnt that it is slow or full.
	t.Run("uses what other daemons have learnt", func(t *testing.T) {
		g := NewWithT(t)
		p := newPlacer()
		p.Record(start, "other", false, []fulmarbalancer.Use{
			{Target: "0", Load: fulmarbalancer.Load{Slots: 3, Slowdown: 5}, LoadAt: start},
			{Target: "1", Load: fulmarbalancer.Load{Running: 3, Waiting: 6, Slots: 3}, LoadAt: start},
		})
		g.Expect(place(g, p, start, candidates(3), daemons(2)...)).To(HaveKeyWithValue("2", 2))
	})

	// Guards against a target that is avoided for ever because the end of a request there was not stated, or the statement was lost.
	t.Run("corrects the count by the next statement", func(t *testing.T) {
		g := NewWithT(t)
		p := newPlacer()
		for range 6 {
			place(g, p, start, candidates(1), "a")
		}
		p.Record(start, "a", false, []fulmarbalancer.Use{{Target: "0"}})
		g.Expect(place(g, p, start, candidates(2), daemons(6)...)).To(HaveKeyWithValue("0", 3))
	})
	t.Run("drops what a daemon no longer uses", func(t *testing.T) {
		g := NewWithT(t)
		p := newPlacer()
		p.Record(start, "a", false, []fulmarbalancer.Use{{Target: "0", InFlight: 9}})
		p.Record(start, "a", true, nil)
		g.Expect(place(g, p, start, candidates(2), daemons(6)...)).To(HaveKeyWithValue("0", 3))
	})

	// Guards against requests of a daemon that has ended, which would count at their targets for ever.
	t.Run("forgets a daemon that states nothing more", func(t *testing.T) {
		g := NewWithT(t)
		p := newPlacer()
		p.Record(start, "a", false, []fulmarbalancer.Use{{Target: "0", InFlight: 9}})
		g.Expect(place(g, p, start.Add(time.Second), candidates(2), daemons(6)...)).NotTo(HaveKey("0"))
		p = newPlacer()
		p.Record(start, "a", false, []fulmarbalancer.Use{{Target: "0", InFlight: 9}})
		g.Expect(place(g, p, start.Add(6*time.Second), candidates(2), daemons(6)...)).To(HaveKeyWithValue("0", 3))
	})

	t.Run("has no target without candidates", func(t *testing.T) {
		g := NewWithT(t)
		_, ok := newPlacer().Place(start, "a", slices.Values(candidates(0)))
		g.Expect(ok).To(BeFalse())
	})
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{261, 900} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p, list := newPlacer(), candidates(n)
			p.Record(start, "a", false, nil)
			b.ReportAllocs()
			for b.Loop() {
				p.Place(start, "a", slices.Values(list))
				p.Record(start, "a", true, nil)
			}
		})
	}
}
