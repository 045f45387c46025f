package fulmarallowance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
)

const window = 10 * time.Second

var start = time.Unix(1000, 0)

// taken returns how many of n repeated sends are allowed.
func taken(a *fulmarallowance.RetryBudget, now time.Time, service string, daemons, n int) int {
	allowed := 0
	for range n {
		if a.AllowRetry(now, service, daemons) {
			allowed++
		}
	}
	return allowed
}

func TestAllowance(t *testing.T) {
	rule := fulmarallowance.Rule{Ratio: 0.2, FixedRetries: 54, Window: window}

	// Guards against a fleet whose daemons each use the whole of the fixed number.
	t.Run("divides the fixed number among the daemons", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(taken(fulmarallowance.New(rule), start, "s", 27, 100)).To(Equal(2))
		g.Expect(taken(fulmarallowance.New(rule), start, "s", 1, 100)).To(Equal(54))
		g.Expect(taken(fulmarallowance.New(rule), start, "s", 0, 100)).To(Equal(54))
	})

	t.Run("allows a share of the requests of the same service", func(t *testing.T) {
		g := NewWithT(t)
		a := fulmarallowance.New(rule)
		for range 100 {
			a.RecordRequest(start, "s")
		}
		g.Expect(taken(a, start, "s", 27, 100)).To(Equal(22))
		g.Expect(taken(a, start, "other", 27, 100)).To(Equal(2))
	})

	t.Run("takes a changed bound over", func(t *testing.T) {
		g := NewWithT(t)
		a := fulmarallowance.New(rule)
		g.Expect(taken(a, start, "s", 1, 100)).To(Equal(54))
		a.SetRule(fulmarallowance.Rule{Ratio: 0.2, FixedRetries: 60, Window: window})
		g.Expect(taken(a, start, "s", 1, 100)).To(Equal(6))
	})

	// Guards against more repeats in any window than its own requests allow.
	t.Run("holds in every window", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			a := fulmarallowance.New(rule)
			type event struct {
				at     time.Time
				repeat bool
			}
			var events []event
			now := start
			for range rapid.IntRange(1, 200).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "request") {
					a.RecordRequest(now, "s")
					events = append(events, event{now, false})
				} else if a.AllowRetry(now, "s", 27) {
					events = append(events, event{now, true})
				}
			}
			count := func(end time.Time, repeat bool) int {
				n := 0
				for _, e := range events {
					if e.repeat == repeat && e.at.After(end.Add(-window)) && !e.at.After(end) {
						n++
					}
				}
				return n
			}
			for _, e := range events {
				repeats := count(e.at, true)
				// The users count the requests of the window, of the one before or of the one half a window before,
				// whichever has most.
				requests := max(count(e.at, false), count(e.at.Add(-window), false), count(e.at.Add(-window/2), false))
				if float64(repeats) > rule.Ratio*float64(requests)+rule.FixedRetries/27 {
					t.Fatalf("%d repeats for %d requests in the window up to %v", repeats, requests, e.at)
				}
			}
		})
	})
}
