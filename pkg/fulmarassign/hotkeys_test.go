package fulmarassign_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Guards against a hot key that moves to another target about once a second, as of hundreds of targets one always seems faster by
// its few requests, and against one that stays at a target which has become slow.
func TestOwnerOfHotKey(t *testing.T) {
	const key = 20001
	for name, c := range map[string]struct {
		fastest float64 // service time of one of the other targets in seconds, where the owner has 0.1
		moves   bool
	}{
		"seems faster": {0.06, false},
		"is faster":    {0.04, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			all := targets(20, 0.1)
			rates := fulmarassign.NewRates(start)
			addKeyLoad(rates, 160, key)
			table := planUntilStable(fulmarrange.New(), all, rates)
			owner := table.Find(key)
			g.Expect([]int{owner.From, owner.To}).To(Equal([]int{key, key}))
			other := slices.IndexFunc(all, func(a fulmarassign.Target) bool { return a.Incarnation != owner.Owner.Incarnation })
			all[other].ServiceTime = c.fastest
			after := planUntilStable(table, all, rates).Find(key).Owner.Incarnation
			g.Expect(after == all[other].Incarnation).To(Equal(c.moves))
		})
	}
}

// addKeyLoad adds ten seconds of requests for a key at an even rate.
func addKeyLoad(r *fulmarassign.Rates, rate float64, key int) {
	const step = 100 * time.Millisecond
	for at := step; at <= 10*time.Second; at += step {
		r.Advance(start.Add(at))
		r.Add(key, rate*step.Seconds())
	}
}

// Guards against requests that are bounded although their target can do them, and against a bound that begins and ends in turn.
func TestHotKeyRates(t *testing.T) {
	const key, capacity = 1000, 30
	all := targets(3, 0.1) // 3 slots and 0.1 s
	for _, c := range []struct {
		name    string
		rate    float64
		single  bool // the key has a segment of its own
		inNeed  bool
		bounded bool // before
		want    bool
	}{
		{name: "more than the target can do", rate: 2 * capacity, single: true, want: true},
		{name: "little more", rate: 1.1 * capacity, single: true},
		{name: "little more, bounded before", rate: 1.1 * capacity, single: true, bounded: true, want: true},
		{name: "less, bounded before", rate: 0.8 * capacity, single: true, bounded: true},
		{name: "beside other keys", rate: 2 * capacity},
		{name: "target that states its limit", rate: 2 * capacity, single: true, inNeed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			owner := all[1]
			owner.InNeed = c.inNeed
			table := fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, all[0].Incarnation)
			from, to := key-1, key+1
			if c.single {
				from, to = key, key
			}
			table = table.WithOwner(from, to, owner.Incarnation)
			rates := fulmarassign.NewRates(start)
			addKeyLoad(rates, c.rate, key)
			before := map[fulmarrange.Incarnation]float64{}
			if c.bounded {
				before[owner.Incarnation] = capacity
			}
			got := fulmarassign.HotKeyRates(table, []fulmarassign.Target{all[0], owner, all[2]}, rates, before)
			if !c.want {
				g.Expect(got).To(BeEmpty())
				return
			}
			g.Expect(got).To(HaveLen(1))
			g.Expect(got[owner.Incarnation]).To(BeNumerically("~", capacity, 0.01))
		})
	}
}
