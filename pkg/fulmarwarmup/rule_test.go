package fulmarwarmup_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrotation"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

var start = time.Unix(1000, 0)

// Guards against permits of two successive leaders that together exceed the bound in some second, for any rule.
func TestPermitsKeepRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := fulmarwarmup.Rule{Over: rapid.Float64Range(1, 3).Draw(t, "over"), Slack: rapid.Float64Range(4, 20).Draw(t, "slack")}
		taken := rapid.Float64Range(1, 100).Draw(t, "taken")
		rate := rule.PermitRate(taken)
		d, replacedAt := fulmarpermit.New(), time.Duration(rapid.IntRange(0, 2000).Draw(t, "replaced"))*time.Millisecond
		var sends []time.Duration
		for at := time.Duration(0); at < 3*time.Second; at += 5 * time.Millisecond {
			if at == replacedAt.Round(5*time.Millisecond) {
				d = fulmarpermit.New()
			}
			if rapid.IntRange(0, 9).Draw(t, "idle") > 0 {
				if _, ok := d.Take(start.Add(at), rate, fulmarpermit.Request{Target: "x"}); ok {
					sends = append(sends, at)
				}
			}
		}
		first := 0
		for i, at := range sends {
			for at-sends[first] >= time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > taken*rule.Over+rule.Slack {
				t.Fatalf("%d requests in a second before %v, the rate is %.2f", n, at, rate)
			}
		}
	})
}

// Guards against turns of many daemons that together with the permits of a leader, which others still follow, exceed the bound
// in some second, although every daemon has requests all the time.
func TestTurnsBesidePermitsKeepRule(t *testing.T) {
	rule, taken := fulmarwarmup.Rule{Over: 1.5, Slack: 8}, 5.4
	for _, daemons := range []int{27, 144, 300} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			g := NewWithT(t)
			rotations := make([]*fulmarrotation.Rotation, daemons)
			for i := range rotations {
				rotations[i] = fulmarrotation.New(fmt.Sprintf("d%d", i))
			}
			turns := 0
			for target := range 20 {
				id, leader := fmt.Sprintf("t%d", target), fulmarpermit.New()
				var sends []time.Duration
				first := 0
				for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
					now := start.Add(at)
					if _, ok := leader.Take(now, rule.PermitRate(taken), fulmarpermit.Request{Target: id}); ok {
						sends = append(sends, at)
					}
					for _, r := range rotations {
						if r.Take(now, id, rule.TurnRate(taken), daemons) {
							sends = append(sends, at)
							turns++
						}
					}
					for len(sends) > first && at-sends[first] >= time.Second {
						first++
					}
					g.Expect(float64(len(sends)-first)).To(BeNumerically("<=", taken*rule.Over+rule.Slack), "%s at %v", id, at)
				}
			}
			g.Expect(turns).To(BeNumerically(">", 100), "in 600 s")
		})
	}
}

// Guards against a cold target that gets fewer requests than it takes although the bound leaves room, and against rates that
// exceed what a rule without slack allows.
func TestRates(t *testing.T) {
	for _, c := range []struct {
		rule          fulmarwarmup.Rule
		taken         float64
		permits       float64
		usedWithTurns float64 // turns, of which half are used, in requests per second at most
	}{
		{fulmarwarmup.Rule{Over: 1.5, Slack: 8}, 5.4, 5.4, 1},
		{fulmarwarmup.Rule{Over: 1.5, Slack: 8}, 4.9, 4.9, 1},
		{fulmarwarmup.Rule{}, 5.4, 0, 0.2},
		{fulmarwarmup.Rule{Over: 1.2}, 100, 64, 8},
	} {
		t.Run(fmt.Sprintf("%+v %v", c.rule, c.taken), func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.rule.PermitRate(c.taken)).To(BeNumerically("~", c.permits, 0.01))
			g.Expect(c.rule.TurnRate(c.taken) / 2).To(BeNumerically("<=", c.usedWithTurns))
		})
	}
}
