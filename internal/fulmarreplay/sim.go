package fulmarreplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Times of the model.
const (
	hop        = 2 * time.Millisecond   // one way between a daemon and a target, with the daemon's work
	order      = 10 * time.Millisecond  // for a change of the tables and a grant
	reportTime = 250 * time.Millisecond // between reports to the leader
	planTime   = 200 * time.Millisecond

	comeBack = 150 * time.Millisecond // after which a refused caller comes back, once
	again    = 0.3                    // price of a refusal of a request that came back
)

// Admission decides what happens to a request for a target.
type Admission interface {
	// Offer takes a request; the admission calls s.Send or s.Refuse for it, now or later.
	Offer(s *Sim, r *Request)
	// Ended tells that a request that was sent has ended.
	Ended(s *Sim, r *Request)
}

// Request is one attempt of a caller.
type Request struct {
	Key      int
	Daemon   int
	Target   int
	Arrived  time.Duration // of the caller's first attempt
	Deadline time.Duration
	Retry    bool // the caller was refused before
	call     *call
	done     bool
}

// Result counts what came of the requests.
type Result struct {
	Requests, Good, Late, Refused, Failed, RefusedTwice int
	Worth                                               float64 // share of the worth of all requests
	Moved                                               float64 // times that all keys changed hands
}

// String returns the result as one line.
func (r Result) String() string {
	n := float64(max(r.Requests, 1))
	return fmt.Sprintf("worth %.4f good %.3f late %.3f refused %.3f failed %.3f again %.3f moved %.2f",
		r.Worth, float64(r.Good)/n, float64(r.Late)/n, float64(r.Refused)/n, float64(r.Failed)/n, float64(r.RefusedTwice)/n, r.Moved)
}

// Sim is one replay.
type Sim struct {
	pattern   Pattern
	policy    fulmarassign.Policy
	admission Admission
	random    *rand.Rand
	clock     clock
	keys      *keys
	targets   []*target
	lives     map[fulmarrange.Incarnation]int
	table     fulmarrange.Table
	moving    map[[2]int]bool
	rates     *fulmarassign.Rates
	times     *fulmarassign.ServiceTimes
	counts    map[int]int
	sums      []sample
	result    Result
}

type sample struct {
	n   int
	sum time.Duration
}

// epoch is the time at which the virtual clock starts.
var epoch = time.Unix(1000, 0)

// New returns a replay of the pattern with the seed.
func New(p Pattern, policy fulmarassign.Policy, a Admission, seed uint64) *Sim {
	s := &Sim{
		pattern: p, policy: policy, admission: a, random: rand.New(rand.NewPCG(seed, 1)),
		lives: make(map[fulmarrange.Incarnation]int), moving: make(map[[2]int]bool), counts: make(map[int]int),
		rates: fulmarassign.NewRates(epoch.Add(-8 * time.Second)), times: fulmarassign.NewServiceTimes(), sums: make([]sample, p.Targets),
	}
	s.keys = newKeys(p, s.random)
	offset := s.random.IntN(len(p.TargetSpeeds))
	for i := range p.Targets {
		t := &target{sim: s, index: i, speed: p.TargetSpeeds[(i+offset)%len(p.TargetSpeeds)], random: s.random, running: make(map[*call]bool)}
		s.targets = append(s.targets, t)
		s.lives[s.life(i)] = i
	}
	s.table = fulmarassign.Plan(fulmarrange.New(), s.planned(), s.rates, s.policy)
	return s
}

func (s *Sim) life(i int) fulmarrange.Incarnation {
	return fulmarrange.Incarnation{ID: fmt.Sprintf("t%03d", i), Born: 1}
}

func (s *Sim) now() time.Time { return epoch.Add(s.clock.now) }

// Now returns the virtual time since the start.
func (s *Sim) Now() time.Duration { return s.clock.now }

// After runs f when d has passed.
func (s *Sim) After(d time.Duration, f func()) { s.clock.after(d, f) }

// Pattern returns the load that is replayed.
func (s *Sim) Pattern() Pattern { return s.pattern }

// Run replays the pattern and returns its result.
func (s *Sim) Run() Result {
	s.arrivals()
	s.reports()
	s.plans()
	s.clock.run(s.pattern.Duration + s.pattern.Timeout)
	n := float64(max(s.result.Requests, 1))
	s.result.Worth = (float64(s.result.Good) + s.pattern.LateWorth*float64(s.result.Late) - again*float64(s.result.RefusedTwice) -
		s.pattern.MoveCost*s.result.Moved) / n
	return s.result
}

func (s *Sim) arrivals() {
	gap := time.Duration(s.random.ExpFloat64() / s.pattern.rate(s.clock.now) * float64(time.Second))
	s.clock.after(gap, func() {
		if s.clock.now >= s.pattern.Duration {
			return
		}
		s.result.Requests++
		s.offer(&Request{
			Key: s.keys.draw(s.clock.now), Daemon: s.random.IntN(s.pattern.Daemons), Arrived: s.clock.now,
			Deadline: s.clock.now + s.pattern.Timeout,
		})
		s.arrivals()
	})
}

// offer brings a request to the admission, after a short wait if its key moves.
func (s *Sim) offer(r *Request) {
	s.counts[r.Key]++
	s.route(r, s.clock.now+s.pattern.Goal/3)
}

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
	r.Target = s.lives[g.Owner.Incarnation]
	s.admission.Offer(s, r)
}

// Send sends a request to its target; the admission learns when it has ended.
func (s *Sim) Send(r *Request) {
	sent := s.clock.now
	t := s.targets[r.Target]
	end := func(f func()) {
		if r.done {
			return
		}
		r.done = true
		f()
		s.admission.Ended(s, r)
	}
	r.done = false
	r.call = &call{key: r.Key, work: s.pattern.ServiceTime.draw(s.random), ended: func(_, rejected bool) {
		waiting := len(t.waiting)
		s.clock.after(hop, func() {
			end(func() {
				if rejected {
					s.Refuse(r)
					return
				}
				took := s.clock.now - sent
				s.sums[r.Target].n++
				s.sums[r.Target].sum += time.Duration(float64(took) / (1 + float64(waiting)/float64(s.pattern.Slots)))
				if s.clock.now-r.Arrived <= s.pattern.Goal {
					s.result.Good++
				} else {
					s.result.Late++
				}
			})
		})
	}}
	s.clock.after(hop, func() { t.arrive(r.call) })
	s.clock.after(r.Deadline-s.clock.now, func() {
		end(func() {
			s.result.Failed++
			t.leave(r.call)
		})
	})
}

// Refuse turns a request away; its caller comes back once.
func (s *Sim) Refuse(r *Request) {
	left := r.Deadline - s.clock.now
	if r.Retry || left < comeBack {
		s.result.Refused++
		if r.Retry {
			s.result.RefusedTwice++
		}
		return
	}
	next := &Request{Key: r.Key, Daemon: s.random.IntN(s.pattern.Daemons), Arrived: r.Arrived, Deadline: r.Deadline, Retry: true}
	s.clock.after(min(comeBack, left/3)+hop, func() { s.offer(next) })
}

// reports carry counts to the leader.
func (s *Sim) reports() {
	s.clock.after(reportTime, func() {
		s.rates.Advance(s.now())
		for key, n := range s.counts {
			s.rates.Add(key, float64(n))
		}
		clear(s.counts)
		for i := range s.sums {
			if s.sums[i].n > 0 {
				s.times.AddCompleted(s.now(), s.life(i).ID, s.sums[i].sum, s.sums[i].n)
				s.sums[i] = sample{}
			}
		}
		s.reports()
	})
}

func (s *Sim) planned() []fulmarassign.Target {
	out := make([]fulmarassign.Target, 0, len(s.targets))
	for i := range s.targets {
		life := s.life(i)
		out = append(out, fulmarassign.Target{Incarnation: life, Slots: s.pattern.Slots, ServiceTime: s.times.Get(s.now(), life.ID)})
	}
	return out
}

func (s *Sim) plans() {
	s.clock.after(planTime, func() {
		s.rates.Advance(s.now())
		next := fulmarassign.Plan(s.table, s.planned(), s.rates, s.policy)
		s.table = next
		for _, g := range next.Segments() {
			if len(g.PriorClaims) > 0 && !s.moving[[2]int{g.From, g.To}] {
				s.move(g)
			}
		}
		s.plans()
	})
}

// move ends a move when the former owners have finished their work on the keys.
func (s *Sim) move(g fulmarrange.Segment) {
	at := [2]int{g.From, g.To}
	s.moving[at] = true
	s.result.Moved += float64(g.Keys()) / (fulmarrange.MaxKey + 1)
	var try func()
	try = func() {
		for _, p := range g.PriorClaims {
			if s.targets[s.lives[p.Incarnation]].busy(g.From, g.To) {
				s.clock.after(5*time.Millisecond, try)
				return
			}
		}
		s.clock.after(order, func() {
			for _, p := range g.PriorClaims {
				s.table = s.table.WithoutPriorClaim(g.From, g.To, p)
			}
			delete(s.moving, at)
		})
	}
	s.clock.after(order, try)
}
