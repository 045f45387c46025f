package fulmarassign_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

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
			const step = 100 * time.Millisecond
			for at := step; at <= 10*time.Second; at += step {
				rates.Advance(start.Add(at))
				rates.Add(key, c.rate*step.Seconds())
			}
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
