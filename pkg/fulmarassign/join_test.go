package fulmarassign_test

import (
	"fmt"
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
