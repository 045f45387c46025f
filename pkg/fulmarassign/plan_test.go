package fulmarassign_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// targets returns n targets with 3 slots; the service time of target i is times[i % len(times)].
func targets(n int, times ...float64) []fulmarassign.Target {
	out := make([]fulmarassign.Target, n)
	for i := range out {
		out[i] = fulmarassign.Target{Incarnation: fulmarrange.Incarnation{ID: fmt.Sprintf("t%02d", i), Born: 1}, Slots: 3, ServiceTime: times[i%len(times)]}
	}
	return out
}

// random selects the keys of requests.
var random = rand.New(rand.NewPCG(1, 2))

// addLoad adds requests for randomly selected keys at the given rate and for the given time.
func addLoad(r *fulmarassign.Rates, from, span time.Duration, rate float64, keys ...int) {
	const step = 50 * time.Millisecond
	due := 0.0
	for at := from; at < from+span; at += step {
		r.Advance(start.Add(at))
		for due += rate * step.Seconds(); due >= 1; due-- {
			r.Add(keys[random.IntN(len(keys))], 1)
		}
	}
}

// evenKeys returns n keys at equal distances over the key space.
func evenKeys(n int) []int {
	keys := make([]int, n)
	for i := range keys {
		keys[i] = i * (fulmarrange.MaxKey + 1) / n
	}
	return keys
}

// ratesByTarget returns the request rate of each target under the table.
func ratesByTarget(table fulmarrange.Table, rates *fulmarassign.Rates) map[string]float64 {
	out := make(map[string]float64)
	profile := rates.Profile(0)
	for _, s := range table.Segments() {
		out[s.Owner.Incarnation.ID] += profile.Rate(s.From, s.To)
	}
	return out
}

// countMovedKeys returns the number of keys whose owner differs between a and b.
func countMovedKeys(a, b fulmarrange.Table) int {
	n := 0
	for key := range fulmarrange.MaxKey + 1 {
		if a.Find(key).Owner.Incarnation != b.Find(key).Owner.Incarnation {
			n++
		}
	}
	return n
}

// planUntilStable plans until nothing changes, completing all moves after each plan.
func planUntilStable(table fulmarrange.Table, all []fulmarassign.Target, rates *fulmarassign.Rates) fulmarrange.Table {
	for range 50 {
		next := fulmarassign.Plan(table, all, rates, fulmarassign.DefaultPolicy)
		if next.MaxFence() == table.MaxFence() {
			return next
		}
		for _, s := range next.Segments() {
			for _, p := range s.PriorClaims {
				next = next.WithoutPriorClaim(s.From, s.To, p)
			}
		}
		table = next
	}
	return table
}

func TestPlan(t *testing.T) {
	t.Run("divides the keys by the capacity of the targets", func(t *testing.T) {
		g := NewWithT(t)
		table := fulmarassign.Plan(fulmarrange.New(), targets(4, 0.1, 0.05), fulmarassign.NewRates(start), fulmarassign.DefaultPolicy)
		g.Expect(table.Len()).To(Equal(4))
		g.Expect(table.Segments()[1].Keys()).To(BeNumerically("~", 2*table.Segments()[0].Keys(), 2))
	})

	t.Run("moves nothing under an even load", func(t *testing.T) {
		g := NewWithT(t)
		all := targets(20, 0.1)
		rates := fulmarassign.NewRates(start)
		table := fulmarassign.Plan(fulmarrange.New(), all, rates, fulmarassign.DefaultPolicy)
		addLoad(rates, 0, 8*time.Second, 300, evenKeys(4000)...)
		g.Expect(fulmarassign.Plan(table, all, rates, fulmarassign.DefaultPolicy).MaxFence()).To(Equal(table.MaxFence()))
	})

	// Guards against overload when 200 adjacent keys take 40% of the traffic within a second.
	t.Run("spreads adjacent keys that have become busy", func(t *testing.T) {
		g := NewWithT(t)
		all := targets(20, 0.1)
		rates := fulmarassign.NewRates(start)
		table := fulmarassign.Plan(fulmarrange.New(), all, rates, fulmarassign.DefaultPolicy)
		background, hot := evenKeys(4000), make([]int, 200)
		for i := range hot {
			hot[i] = 30000 + i
		}
		addLoad(rates, 0, 8*time.Second, 300, background...)
		for at := 8 * time.Second; at < 9*time.Second; at += 50 * time.Millisecond {
			addLoad(rates, at, 50*time.Millisecond, 180, background...)
			addLoad(rates, at, 50*time.Millisecond, 120, hot...)
		}
		after := planUntilStable(table, all, rates)
		most := 0.0
		for _, rate := range ratesByTarget(after, rates) {
			most = max(most, rate)
		}
		g.Expect(most).To(BeNumerically("<", 28), "the capacity of a target is 30 requests per second")
		g.Expect(countMovedKeys(table, after)).To(BeNumerically("<", fulmarrange.MaxKey/5), "moved keys have a cost")
	})

	// Guards against a target that owns other keys beside a single key whose load exceeds the capacity of most targets.
	t.Run("dedicates the fastest target to a single busy key", func(t *testing.T) {
		g := NewWithT(t)
		all := targets(20, 0.12, 0.12, 0.12, 0.06)
		rates := fulmarassign.NewRates(start)
		table := fulmarassign.Plan(fulmarrange.New(), all, rates, fulmarassign.DefaultPolicy)
		addLoad(rates, 0, 8*time.Second, 200, evenKeys(4000)...)
		addLoad(rates, 8*time.Second, time.Second, 160, 20001)
		after := planUntilStable(table, all, rates)
		owner := after.Find(20001).Owner.Incarnation
		var serviceTime float64
		for _, a := range all {
			if a.Incarnation == owner {
				serviceTime = a.ServiceTime
			}
		}
		g.Expect(serviceTime).To(Equal(0.06))
		for _, s := range after.Segments() {
			if s.Owner.Incarnation == owner {
				g.Expect([]int{s.From, s.To}).To(Equal([]int{20001, 20001}), "other keys share the target")
			}
		}
	})

	t.Run("distributes the keys of a lost target to several others", func(t *testing.T) {
		g := NewWithT(t)
		all := targets(8, 0.1)
		rates := fulmarassign.NewRates(start)
		addLoad(rates, 0, 8*time.Second, 100, evenKeys(4000)...)
		table := planUntilStable(fulmarrange.New(), all, rates)
		after := fulmarassign.Plan(table, all[1:], rates, fulmarassign.DefaultPolicy)
		newOwners := make(map[string]bool)
		for key := range fulmarrange.MaxKey + 1 {
			if table.Find(key).Owner.Incarnation == all[0].Incarnation {
				newOwners[after.Find(key).Owner.Incarnation.ID] = true
			}
		}
		g.Expect(newOwners).NotTo(HaveKey("t00"))
		g.Expect(len(newOwners)).To(BeNumerically(">=", 3))
		g.Expect(countMovedKeys(table, after)).To(BeNumerically("<", fulmarrange.MaxKey/7))
	})

	// Guards against keys that no target may hold until an unanswered grant to their former owner expires.
	t.Run("moves no keys of a target with an unanswered grant", func(t *testing.T) {
		g := NewWithT(t)
		all := targets(8, 0.1)
		rates := fulmarassign.NewRates(start)
		addLoad(rates, 0, 8*time.Second, 100, evenKeys(4000)...)
		table := planUntilStable(fulmarrange.New(), all, rates)
		var hot []int
		for _, s := range table.Segments() {
			if s.Owner.Incarnation == all[0].Incarnation {
				hot = append(hot, s.From+100, s.From+200, s.From+300)
			}
		}
		addLoad(rates, 8*time.Second, time.Second, 40, hot...)
		all[0].HasUnansweredGrant = true
		for key := range fulmarrange.MaxKey + 1 {
			if table.Find(key).Owner.Incarnation == all[0].Incarnation {
				g.Expect(fulmarassign.Plan(table, all, rates, fulmarassign.DefaultPolicy).Find(key).Owner.Incarnation).To(Equal(all[0].Incarnation))
				break
			}
		}
		g.Expect(countMovedKeys(table, planUntilStable(table, all, rates))).To(BeZero())
		all[0].HasUnansweredGrant = false
		g.Expect(countMovedKeys(table, planUntilStable(table, all, rates))).NotTo(BeZero())
	})

	t.Run("assigns no keys to a leaving target", func(t *testing.T) {
		g := NewWithT(t)
		all := targets(8, 0.1)
		rates := fulmarassign.NewRates(start)
		addLoad(rates, 0, 8*time.Second, 100, evenKeys(4000)...)
		all[3].Leaving, all[7].Leaving = true, true
		table := planUntilStable(fulmarrange.New(), all, rates)
		all[0].Leaving = true
		after := planUntilStable(table, append(all[:1:1], all[2:]...), rates)
		g.Expect(ratesByTarget(after, rates)).NotTo(HaveKey("t03"))
		g.Expect(ratesByTarget(after, rates)).NotTo(HaveKey("t07"))
		g.Expect(ratesByTarget(after, rates)).To(HaveLen(5))
		g.Expect(ratesByTarget(after, rates)["t00"]).To(BeNumerically("<", ratesByTarget(table, rates)["t00"]+0.1))
	})

	t.Run("assigns a share to a new target", func(t *testing.T) {
		g := NewWithT(t)
		all := targets(8, 0.1)
		rates := fulmarassign.NewRates(start)
		addLoad(rates, 0, 8*time.Second, 100, evenKeys(4000)...)
		table := planUntilStable(fulmarrange.New(), all[:7], rates)
		after := fulmarassign.Plan(table, all, rates, fulmarassign.DefaultPolicy)
		g.Expect(ratesByTarget(after, rates)["t07"]).To(BeNumerically(">", 3))
	})
}

// Guards against keys that have no owner, or one that is not present, after targets join and leave.
func TestPlanAssignsAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := targets(8, 0.05, 0.1, 0.2)
		rates := fulmarassign.NewRates(start)
		table := fulmarrange.New()
		for step := range 6 {
			var present []fulmarassign.Target
			for i, a := range all {
				if rapid.IntRange(0, 3).Draw(t, "present") > 0 || i == step {
					present = append(present, a)
				}
			}
			key := rapid.IntRange(0, fulmarrange.MaxKey).Draw(t, "key")
			addLoad(rates, time.Duration(step)*time.Second, time.Second, float64(rapid.IntRange(0, 300).Draw(t, "rate")), key, (key+100)%65536)
			table = fulmarassign.Plan(table, present, rates, fulmarassign.DefaultPolicy)
			ids := make(map[fulmarrange.Incarnation]bool)
			for _, p := range present {
				ids[p.Incarnation] = true
			}
			for _, s := range table.Segments() {
				if !ids[s.Owner.Incarnation] {
					t.Fatalf("keys %d to %d belong to %v", s.From, s.To, s.Owner.Incarnation)
				}
			}
		}
	})
}

func TestServiceTimes(t *testing.T) {
	t.Run("assumes the mean of the others for an unknown target", func(t *testing.T) {
		g := NewWithT(t)
		times := fulmarassign.NewServiceTimes()
		times.AddCompleted(start, "a", 20*time.Second, 200)
		g.Expect(times.Get(start, "b")).To(BeNumerically("~", 0.1, 0.01))
	})
	// Guards against missing a target that becomes slow within a second.
	t.Run("detects a target that has become slow", func(t *testing.T) {
		g := NewWithT(t)
		times, now := steadyTimes()
		g.Expect(times.Get(now, "a")).To(BeNumerically("~", 0.1, 0.01))
		for range 8 {
			now = now.Add(200 * time.Millisecond)
			times.AddCompleted(now, "a", 1500*time.Millisecond, 3)
		}
		g.Expect(times.Get(now, "a")).To(BeNumerically(">", 0.25))
	})

	// Guards against missing a target that becomes so slow that callers abandon their requests: ten targets that
	// answered 9 of 100 requests each within 6 s kept their keys, because their estimated service times were unchanged.
	t.Run("detects a target that answers hardly any request", func(t *testing.T) {
		g := NewWithT(t)
		times, now := steadyTimes()
		for range 6 {
			now = now.Add(600 * time.Millisecond)
			times.AddCompleted(now, "a", 600*time.Millisecond, 1)
			times.AddAbandoned(now, "a", 9*time.Second, 9)
		}
		g.Expect(times.Get(now, "a")).To(BeNumerically(">", 0.6))
	})

	// Guards against moving keys away from a fast target because callers abandon requests in its long queue.
	t.Run("does not mistake a busy target for a slow one", func(t *testing.T) {
		g := NewWithT(t)
		times, now := steadyTimes()
		for range 10 {
			now = now.Add(200 * time.Millisecond)
			times.AddCompleted(now, "a", 500*time.Millisecond, 5)
			times.AddAbandoned(now, "a", 3*time.Second, 3)
		}
		g.Expect(times.Get(now, "a")).To(BeNumerically("~", 0.1, 0.01))
	})
}

// steadyTimes returns service times of a target that has taken 0.1 s for each request.
func steadyTimes() (*fulmarassign.ServiceTimes, time.Time) {
	times, now := fulmarassign.NewServiceTimes(), start
	for range 25 {
		now = now.Add(200 * time.Millisecond)
		times.AddCompleted(now, "a", 400*time.Millisecond, 4)
	}
	return times, now
}
