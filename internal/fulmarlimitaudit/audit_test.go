package fulmarlimitaudit_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlimitaudit"
)

// Guards against an audit that misses an excess, or counts requests to which the rule does not apply.
func TestExcess(t *testing.T) {
	start := time.Unix(1000, 0)
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	type change struct{ at, rate float64 }
	for _, c := range []struct {
		name    string
		changes []change
		from    float64 // arrivals at rate from then on, for 10 s
		rate    float64
		excess  bool
	}{
		{"no limit", nil, 0, 100, false},
		{"within the limit", []change{{0, 10}}, 0, 10, false},
		{"within the tolerance", []change{{0, 10}}, 0, 16, false},
		{"above the tolerance", []change{{0, 10}}, 0, 17, true},
		{"limit has ended", []change{{0, 10}, {4, math.Inf(1)}}, 0, 100, false},
		{"limit has just begun", []change{{7.5, 10}}, 0, 100, false},
		{"limit becomes lower", []change{{0, 100}, {2, 4}}, 0, 50, true},
		{"limit begins anew", []change{{0, 4}, {3, math.Inf(1)}, {7.5, 4}}, 0, 50, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := fulmarlimitaudit.New()
			for _, p := range c.changes {
				a.SetLimit(second(p.at), p.rate)
			}
			for i := range int(10 * c.rate) {
				a.Arrive(second(c.from + float64(i)/c.rate))
			}
			NewWithT(t).Expect(a.Excess() != "").To(Equal(c.excess), a.Excess())
		})
	}
}
