package fulmarassign_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// withoutPriorClaims removes all prior claims, as if every move had completed.
func withoutPriorClaims(t fulmarrange.Table) fulmarrange.Table {
	for _, s := range t.Segments() {
		for _, p := range s.PriorClaims {
			t = t.WithoutPriorClaim(s.From, s.To, p)
		}
	}
	return t
}

// Guards against a few targets that register first and still hold most of the keys when the first requests arrive.
func TestTargetsAddedLater(t *testing.T) {
	for _, n := range []int{21, 131, 218} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			targets := make([]fulmarassign.Target, n)
			for i := range targets {
				targets[i] = fulmarassign.Target{Incarnation: fulmarrange.Incarnation{ID: fmt.Sprint(i), Born: 1}, Slots: 3, ServiceTime: 0.1}
			}
			now := time.Unix(1000, 0)
			rates := fulmarassign.NewRates(now)
			table := fulmarassign.Plan(fulmarrange.New(), targets[:3], rates, fulmarassign.DefaultPolicy)
			for range 25 {
				now = now.Add(200 * time.Millisecond)
				rates.Advance(now)
				table = withoutPriorClaims(fulmarassign.Plan(table, targets, rates, fulmarassign.DefaultPolicy))
			}
			keys := make(map[fulmarrange.Incarnation]int)
			for _, s := range table.Segments() {
				keys[s.Owner.Incarnation] += s.Keys()
			}
			most := 0
			for _, k := range keys {
				most = max(most, k)
			}
			g.Expect(keys).To(HaveLen(n))
			g.Expect(float64(most) * float64(n) / (fulmarrange.MaxKey + 1)).To(BeNumerically("<", 2.0))
		})
	}
}

// Guards against a target that joins under load and gets no keys, or keys without requests, in the first plan. It is to have about its
// share of the load.
func TestTargetJoinsUnderLoad(t *testing.T) {
	const perSecond, n = 1500, 164
	for name, busyShare := range map[string]float64{"even load": 0, "a third on 200 adjacent keys": 0.35} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			rates := fulmarassign.NewRates(now)
			step := func() {
				now = now.Add(200 * time.Millisecond)
				rates.Advance(now)
				for range perSecond / 5 {
					key := random.IntN(fulmarrange.MaxKey + 1)
					if random.Float64() < busyShare {
						key = 4000 + random.IntN(200)
					}
					rates.Add(key, 1)
				}
			}
			targets := make([]fulmarassign.Target, n+1)
			for i := range targets {
				targets[i] = fulmarassign.Target{Incarnation: fulmarrange.Incarnation{ID: fmt.Sprint(i), Born: 1}, Slots: 3, ServiceTime: 0.15}
			}
			table := fulmarrange.New()
			for range 40 {
				step()
				table = withoutPriorClaims(fulmarassign.Plan(table, targets[:n], rates, fulmarassign.DefaultPolicy))
			}
			step()
			table = fulmarassign.Plan(table, targets, rates, fulmarassign.DefaultPolicy)
			rate := fulmarassign.OwnerRates(table, rates, fulmarassign.DefaultPolicy)[targets[n].Incarnation]
			g.Expect(rate).To(BeNumerically(">=", perSecond/(n+1)/2), "requests a second")
		})
	}
}
