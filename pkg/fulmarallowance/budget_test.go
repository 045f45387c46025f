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

// allowedRetries returns how many of n retries are allowed.
func allowedRetries(a *fulmarallowance.RetryBudget, now time.Time, service string, daemons, n int) int {
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

	// Guards against daemons that each use the whole fixed number of retries of the fleet.
	t.Run("divides the fixed number among the daemons", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(allowedRetries(fulmarallowance.New(rule), start, "s", 27, 100)).To(Equal(2))
		g.Expect(allowedRetries(fulmarallowance.New(rule), start, "s", 1, 100)).To(Equal(54))
		g.Expect(allowedRetries(fulmarallowance.New(rule), start, "s", 0, 100)).To(Equal(54))
	})

	t.Run("allows a share of the requests of the same service", func(t *testing.T) {
		g := NewWithT(t)
		a := fulmarallowance.New(rule)
		for range 100 {
			a.RecordRequest(start, "s")
		}
		g.Expect(allowedRetries(a, start, "s", 27, 100)).To(Equal(22))
		g.Expect(allowedRetries(a, start, "other", 27, 100)).To(Equal(2))
	})

	t.Run("applies a changed limit", func(t *testing.T) {
		g := NewWithT(t)
		a := fulmarallowance.New(rule)
		g.Expect(allowedRetries(a, start, "s", 1, 100)).To(Equal(54))
		a.SetRule(fulmarallowance.Rule{Ratio: 0.2, FixedRetries: 60, Window: window})
		g.Expect(allowedRetries(a, start, "s", 1, 100)).To(Equal(6))
	})

	// Guards against a budget of which half stays unused under steady load, as only the requests of half a window count.
	t.Run("allows the share of the requests under steady load", func(t *testing.T) {
		g := NewWithT(t)
		a := fulmarallowance.New(rule)
		retries := 0
		for ms := range 40_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%10 == 0 {
				a.RecordRequest(now, "s")
			}
			if ms >= 20_000 && a.AllowRetry(now, "s", 27) {
				retries++
			}
		}
		g.Expect(retries).To(BeNumerically(">", 0.85*0.2*2000))
	})

	// Guards against daemons that each keep the limit by the requests of another window, while the sum of the fleet exceeds it.
	t.Run("limits the retries of the fleet", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			const daemons = 3
			type event struct {
				at    time.Time
				retry bool
			}
			var events []event
			for range daemons {
				a, now := fulmarallowance.New(rule), start
				for range rapid.IntRange(1, 20).Draw(t, "phases") {
					gap, share := rapid.IntRange(5, 400).Draw(t, "gap"), rapid.Float64Range(0, 1).Draw(t, "share")
					for i := range 40 {
						now = now.Add(time.Duration(gap) * time.Millisecond)
						if float64(i%10) >= 10*share {
							a.RecordRequest(now, "s")
							events = append(events, event{now, false})
						} else if a.AllowRetry(now, "s", daemons) {
							events = append(events, event{now, true})
						}
					}
				}
			}
			count := func(end time.Time, retry bool) (n int) {
				for _, e := range events {
					if e.retry == retry && e.at.After(end.Add(-window)) && !e.at.After(end) {
						n++
					}
				}
				return n
			}
			for i := 0; i < len(events); i += 7 {
				end := events[i].at
				requests := max(count(end, false), count(end.Add(-window), false), count(end.Add(-window/2), false))
				if retries := count(end, true); float64(retries) > rule.Ratio*float64(requests)+rule.FixedRetries {
					t.Fatalf("%d retries for %d requests in the window up to %v", retries, requests, end)
				}
			}
		})
	})

	// Guards against more retries in a window than its requests allow.
	t.Run("limits the retries of every window", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			a := fulmarallowance.New(rule)
			type event struct {
				at    time.Time
				retry bool
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
			count := func(end time.Time, retry bool) int {
				n := 0
				for _, e := range events {
					if e.retry == retry && e.at.After(end.Add(-window)) && !e.at.After(end) {
						n++
					}
				}
				return n
			}
			for _, e := range events {
				retries := count(e.at, true)
				// The limit refers to the largest number of requests among three windows: this one, the previous one
				// and the one that ended half a window earlier.
				requests := max(count(e.at, false), count(e.at.Add(-window), false), count(e.at.Add(-window/2), false))
				if float64(retries) > rule.Ratio*float64(requests)+rule.FixedRetries/27 {
					t.Fatalf("%d retries for %d requests in the window up to %v", retries, requests, e.at)
				}
			}
		})
	})
}
