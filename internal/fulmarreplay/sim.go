package fulmarreplay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Delays of the model, and the cost of refusals.
const (
	networkDelay     = 2 * time.Millisecond   // one way between a daemon and a target, including the daemon's processing
	tableChangeDelay = 10 * time.Millisecond  // for distributing a change of the table and a grant
	reportInterval   = 250 * time.Millisecond // between load reports to the leader
	planInterval     = 200 * time.Millisecond // between plans of the leader

	retryDelay          = 150 * time.Millisecond // after which a refused caller retries, once
	repeatedRefusalCost = 0.3                    // cost of refusing a retry, in answers within the goal
)

// Admission decides what happens to a request for a target.
type Admission interface {
	// Offer takes a request for which the admission calls s.Send or s.Refuse, now or later.
	Offer(s *Sim, r *Request)
	// Ended is called when a request that was sent has been answered, rejected or timed out.
	Ended(s *Sim, r *Request)
}

// Rejecter is an Admission that decides what happens to a request that its target rejected. Otherwise, it is refused.
type Rejecter interface {
	// Rejected takes a request for which it calls s.Send or s.Refuse, now or later. hasFreeSlot reports whether the target would start it at once.
	Rejected(s *Sim, r *Request, hasFreeSlot bool)
}

// Request is one attempt of a caller.
type Request struct {
	Key      int
	Daemon   int
	Target   int
	Arrived  time.Duration // arrival of the caller's first attempt
	Deadline time.Duration
	Retry    bool // the first attempt was refused
	call     *call
	done     bool
}

// Result counts the outcomes of requests.
type Result struct {
	Requests, Good, Late, Refused, Failed, RefusedTwice int
	Worth                                               float64       // worth of the answers less costs, as a share of that of answering all requests within the goal
	Moved                                               float64       // moved keys as a multiple of the key space
	WaitP99                                             time.Duration // 99th percentile of the time from a caller's first attempt to a slot
}

// String returns the result as one line.
func (r Result) String() string {
	n := float64(max(r.Requests, 1))
	return fmt.Sprintf("worth %.4f good %.3f late %.3f refused %.3f failed %.3f again %.3f moved %.2f wait p99 %s",
		r.Worth, float64(r.Good)/n, float64(r.Late)/n, float64(r.Refused)/n, float64(r.Failed)/n, float64(r.RefusedTwice)/n, r.Moved, r.WaitP99.Round(time.Millisecond))
}

// Sim is the simulation of one pattern.
type Sim struct {
	pattern       Pattern
	policy        fulmarassign.Policy
	admission     Admission
	random        *rand.Rand
	clock         clock
	keys          *keySampler
	targets       []*target
	targetIndexes map[fulmarrange.Incarnation]int
	table         fulmarrange.Table
	moving        map[[2]int]bool // segments whose move completeMove is carrying out, by first and last key
	rates         *fulmarassign.Rates
	serviceTimes  *fulmarassign.ServiceTimes
	keyCounts     map[int]int     // requests of each key since the last report
	latencies     []latencySum    // of each target since the last report, without the estimated time in its queue
	waits         []time.Duration // of all requests that started
	result        Result
}

// latencySum sums the latencies of n requests.
type latencySum struct {
	n   int
	sum time.Duration
}

// startTime is the time at which the virtual clock starts.
var startTime = time.Unix(1000, 0)

// New returns a simulation of the pattern with the seed.
func New(p Pattern, policy fulmarassign.Policy, a Admission, seed uint64) *Sim {
	s := &Sim{
		pattern: p, policy: policy, admission: a, random: rand.New(rand.NewPCG(seed, 1)),
		targetIndexes: make(map[fulmarrange.Incarnation]int), moving: make(map[[2]int]bool), keyCounts: make(map[int]int),
		rates: fulmarassign.NewRates(startTime.Add(-8 * time.Second)), serviceTimes: fulmarassign.NewServiceTimes(), latencies: make([]latencySum, p.Targets),
	}
	s.keys = newKeySampler(p, s.random)
	offset := s.random.IntN(len(p.TargetSpeeds))
	for i := range p.Targets {
		t := &target{sim: s, index: i, speed: p.TargetSpeeds[(i+offset)%len(p.TargetSpeeds)], random: s.random, running: make(map[*call]bool)}
		s.targets = append(s.targets, t)
		s.targetIndexes[s.incarnation(i)] = i
	}
	s.table = fulmarassign.Plan(fulmarrange.New(), s.planTargets(), s.rates, s.policy)
	return s
}

// incarnation returns the incarnation of target i.
func (s *Sim) incarnation(i int) fulmarrange.Incarnation {
	return fulmarrange.Incarnation{ID: fmt.Sprintf("t%03d", i), Born: 1}
}

// now returns the virtual time as a point in time, as fulmarassign takes it.
func (s *Sim) now() time.Time { return startTime.Add(s.clock.now) }

// Now returns the virtual time since the start.
func (s *Sim) Now() time.Duration { return s.clock.now }

// After schedules f to run when d has passed.
func (s *Sim) After(d time.Duration, f func()) { s.clock.after(d, f) }

// Pattern returns the load pattern that is simulated.
func (s *Sim) Pattern() Pattern { return s.pattern }

// Run simulates the pattern and returns the result.
func (s *Sim) Run() Result {
	s.scheduleArrival()
	s.scheduleReport()
	s.schedulePlan()
	s.clock.run(s.pattern.Duration + s.pattern.Timeout)
	if len(s.waits) > 0 {
		slices.Sort(s.waits)
		s.result.WaitP99 = s.waits[len(s.waits)*99/100]
	}
	n := float64(max(s.result.Requests, 1))
	s.result.Worth = (float64(s.result.Good) + s.pattern.LateWorth*float64(s.result.Late) - repeatedRefusalCost*float64(s.result.RefusedTwice) -
		s.pattern.MoveCost*s.result.Moved) / n
	return s.result
}

// scheduleArrival schedules the next request, which schedules its successor; the gaps are
// exponentially distributed.
func (s *Sim) scheduleArrival() {
	gap := time.Duration(s.random.ExpFloat64() / s.pattern.rateAt(s.clock.now) * float64(time.Second))
	s.clock.after(gap, func() {
		if s.clock.now >= s.pattern.Duration {
			return
		}
		s.result.Requests++
		s.offer(&Request{
			Key: s.keys.sample(s.clock.now), Daemon: s.random.IntN(s.pattern.Daemons), Arrived: s.clock.now,
			Deadline: s.clock.now + s.pattern.Timeout,
		})
		s.scheduleArrival()
	})
}

// offer counts a request and routes it to the admission. If its key is being moved, it
// waits for the move for up to a third of the goal.
func (s *Sim) offer(r *Request) {
	s.keyCounts[r.Key]++
	s.route(r, s.clock.now+s.pattern.Goal/3)
}

// route passes a request to the admission of its target when the owner of its key has no
// prior claims, and refuses it if that is not the case by until.
func (s *Sim) route(r *Request, until time.Duration) {
	g := s.table.Find(r.Key)
	if len(g.PriorClaims) > 0 {
		if s.clock.now >= until {
			s.Refuse(r)
			return
		}
		s.clock.after(5*time.Millisecond, func() { s.route(r, until) })
		return
	}
	r.Target = s.targetIndexes[g.Owner.Incarnation]
	s.admission.Offer(s, r)
}

// Send sends a request to its target and calls Ended of the admission when it has been
// answered, rejected or timed out.
func (s *Sim) Send(r *Request) {
	sent := s.clock.now
	t := s.targets[r.Target]
	finish := func(f func()) {
		if r.done {
			return
		}
		r.done = true
		f()
		s.admission.Ended(s, r)
	}
	r.done = false
	r.call = &call{key: r.Key, arrived: r.Arrived, serviceTime: s.pattern.ServiceTime.sample(s.random), onEnd: func(_, rejected bool) {
		waiting := len(t.waiting)
		s.clock.after(networkDelay, func() {
			finish(func() {
				if rejected {
					s.rejected(r)
					return
				}
				latency := s.clock.now - sent
				s.latencies[r.Target].n++
				s.latencies[r.Target].sum += time.Duration(float64(latency) / (1 + float64(waiting)/float64(s.pattern.Slots)))
				if s.clock.now-r.Arrived <= s.pattern.Goal {
					s.result.Good++
				} else {
					s.result.Late++
				}
			})
		})
	}}
	s.clock.after(networkDelay, func() { t.arrive(r.call) })
	s.clock.after(r.Deadline-s.clock.now, func() {
		finish(func() {
			s.result.Failed++
			t.abandon(r.call)
		})
	})
}

// rejected passes a request that its target rejected to the admission.
func (s *Sim) rejected(r *Request) {
	if a, ok := s.admission.(Rejecter); ok {
		a.Rejected(s, r, len(s.targets[r.Target].running) < s.pattern.Slots)
		return
	}
	s.Refuse(r)
}

// Refuse refuses a request. Its caller retries once if the deadline permits; a refusal
// counts only if no retry follows.
func (s *Sim) Refuse(r *Request) {
	left := r.Deadline - s.clock.now
	if r.Retry || left < retryDelay {
		s.result.Refused++
		if r.Retry {
			s.result.RefusedTwice++
		}
		return
	}
	next := &Request{Key: r.Key, Daemon: s.random.IntN(s.pattern.Daemons), Arrived: r.Arrived, Deadline: r.Deadline, Retry: true}
	s.clock.after(min(retryDelay, left/3)+networkDelay, func() { s.offer(next) })
}

// scheduleReport schedules the reports of request counts and service times to the leader.
func (s *Sim) scheduleReport() {
	s.clock.after(reportInterval, func() {
		s.rates.Advance(s.now())
		for key, n := range s.keyCounts {
			s.rates.Add(key, float64(n))
		}
		clear(s.keyCounts)
		for i := range s.latencies {
			if s.latencies[i].n > 0 {
				s.serviceTimes.AddCompleted(s.now(), s.incarnation(i).ID, s.latencies[i].sum, s.latencies[i].n)
				s.latencies[i] = latencySum{}
			}
		}
		s.scheduleReport()
	})
}

// planTargets returns the targets with their estimated service times, as the planner takes them.
func (s *Sim) planTargets() []fulmarassign.Target {
	out := make([]fulmarassign.Target, 0, len(s.targets))
	for i := range s.targets {
		incarnation := s.incarnation(i)
		out = append(out, fulmarassign.Target{Incarnation: incarnation, Slots: s.pattern.Slots, ServiceTime: s.serviceTimes.Get(s.now(), incarnation.ID)})
	}
	return out
}

// schedulePlan schedules the planning of key ranges and starts the moves of each plan.
func (s *Sim) schedulePlan() {
	s.clock.after(planInterval, func() {
		s.rates.Advance(s.now())
		next := fulmarassign.Plan(s.table, s.planTargets(), s.rates, s.policy)
		s.table = next
		for _, g := range next.Segments() {
			if len(g.PriorClaims) > 0 && !s.moving[[2]int{g.From, g.To}] {
				s.completeMove(g)
			}
		}
		s.schedulePlan()
	})
}

// completeMove removes the prior claims of a segment when the former owners run no more
// requests for its keys.
func (s *Sim) completeMove(g fulmarrange.Segment) {
	keyRange := [2]int{g.From, g.To}
	s.moving[keyRange] = true
	s.result.Moved += float64(g.Keys()) / (fulmarrange.MaxKey + 1)
	var release func()
	release = func() {
		for _, p := range g.PriorClaims {
			if s.targets[s.targetIndexes[p.Incarnation]].hasRunning(g.From, g.To) {
				s.clock.after(5*time.Millisecond, release)
				return
			}
		}
		s.clock.after(tableChangeDelay, func() {
			for _, p := range g.PriorClaims {
				s.table = s.table.WithoutPriorClaim(g.From, g.To, p)
			}
			delete(s.moving, keyRange)
		})
	}
	s.clock.after(tableChangeDelay, release)
}
