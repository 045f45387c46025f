package fulmarpick

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	weight       = 0.15                   // of the latest time in the mean
	decay        = 150 * time.Millisecond // time in which a reported queue loses 63% of its weight
	usual        = 80 * time.Millisecond  // assumed time of a request before any was seen
	failureDecay = 2 * time.Second        // time in which a failure loses 63% of its weight
	failureCost  = 1.0                    // share by which a full failure score raises the cost
	remoteCost   = 0.5                    // share by which another data centre raises the cost
	coldCost     = 1.0                    // share by which a target that has just started is slower
	roomy        = 1.5                    // a cost up to that many times the time of a request means no wait
	jitter       = 0.05
)

// Candidate is a target that can serve the request.
type Candidate struct {
	ID     string
	Slots  int
	Remote bool // in another data centre
	Cold   bool // has just started
}

// Load is what a target says of itself.
type Load struct{ Running, Waiting, Slots int }

type target struct {
	own      int
	load     float64 // running and waiting requests of others, as reported
	at       time.Time
	mean     float64 // seconds of a request
	failures float64
	failedAt time.Time
	ahead    float64 // rounds of requests that waited at the last report
	sample   Sample  // since the last call of Samples
}

// Board holds the state of all targets; it is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	random  *rand.Rand
	targets map[string]*target
	samples int
}

// New returns a board that compares at least samples candidates. It uses src alone.
func New(samples int, src rand.Source) *Balancer {
	if samples < 1 {
		panic("fulmarpick: samples must be positive")
	}
	return &Balancer{random: rand.New(src), targets: make(map[string]*target), samples: samples}
}

func (b *Balancer) target(id string) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{mean: usual.Seconds()}
		b.targets[id] = t
	}
	return t
}

// Choose returns the index of the cheapest candidate with fewer than limit own requests in flight, or -1 if there
// is none. Candidates are looked at in their order: after the first few, the search ends as soon as a request
// would not have to wait at the best one so far. So a daemon keeps to the targets that come first in its order as
// long as they have room, and needs few connections.
func (b *Balancer) Choose(now time.Time, candidates []Candidate, limit int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestCost, idle := -1, math.Inf(1), 0.0
	seen := 0
	for i, c := range candidates {
		if seen >= b.samples && best >= 0 && bestCost <= idle*roomy {
			break
		}
		t := b.target(c.ID)
		if t.own >= limit {
			continue
		}
		seen++
		cost := t.cost(now, c)
		// Equal costs are frequent while targets are little known; the jitter keeps daemons from choosing alike.
		cost *= 1 + jitter*b.random.Float64()
		if cost < bestCost {
			best, bestCost, idle = i, cost, t.mean
		}
	}
	return best
}

// cost returns the expected time until a new request is answered, in seconds.
func (t *target) cost(now time.Time, c Candidate) float64 {
	others := t.load * math.Exp(-now.Sub(t.at).Seconds()/decay.Seconds())
	ahead := float64(t.own) + others
	slots := float64(max(c.Slots, 1))
	rounds := 1 + max(0, ahead+1-slots)/slots + 0.2*min(ahead, slots)/slots
	cost := t.mean * rounds
	cost *= 1 + failureCost*t.failureScore(now)
	if c.Remote {
		cost *= 1 + remoteCost
	}
	if c.Cold {
		cost *= 1 + coldCost
	}
	return cost
}

func (t *target) failureScore(now time.Time) float64 {
	return t.failures * math.Exp(-now.Sub(t.failedAt).Seconds()/failureDecay.Seconds())
}

// Start records that a request is sent to the target, unless limit requests are in flight already.
func (b *Balancer) Acquire(id string, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	if t.own >= limit {
		return false
	}
	t.own++
	return true
}

// End records that a request has ended.
func (b *Balancer) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[id]; t != nil {
		t.own--
	}
}

// Served records the time of an answered request.
func (b *Balancer) RecordServed(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	t.mean += weight * (took.Seconds() - t.mean)
	t.failures *= 1 - weight
	// A request that had to wait took the time of those ahead besides its own.
	t.sample.Served++
	t.sample.ServedTime += time.Duration(float64(took) / (1 + t.ahead))
}

// Abandoned records that a request was given up after it had waited for an answer. It has taken at least that long,
// which tells nothing about a target that usually takes longer.
func (b *Balancer) RecordAbandoned(id string, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	own := waited.Seconds() / (1 + t.ahead)
	if own <= t.mean {
		return
	}
	t.sample.Abandoned++
	t.sample.AbandonedTime += time.Duration(own * float64(time.Second))
}

// Failed records a request that the target failed or turned away.
func (b *Balancer) RecordFailure(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	t.failures = t.failureScore(now) + 1
	t.failedAt = now
}

// Report records the load that the target reported with an answer at now.
func (b *Balancer) RecordLoad(now time.Time, id string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	t.load = float64(max(l.Running+l.Waiting-t.own, 0))
	t.at = now
	t.ahead = float64(l.Waiting) / float64(max(l.Slots, 1))
}

// Sample is what became of requests: the number of those that were answered and of those that were given up, each
// with the sum of their times.
type Sample struct {
	Served        int
	ServedTime    time.Duration
	Abandoned     int
	AbandonedTime time.Duration
}

// Samples returns the requests that ended at each target since the last call, with the time that they took without
// the wait for others, as far as reports tell.
func (b *Balancer) TakeSamples() map[string]Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Sample)
	for id, t := range b.targets {
		if t.sample.Served+t.sample.Abandoned > 0 {
			out[id] = t.sample
			t.sample = Sample{}
		}
	}
	return out
}

// Retain drops the targets for which keep is false and that have no request in flight.
func (b *Balancer) Retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.targets {
		if t.own == 0 && !keep(id) {
			delete(b.targets, id)
		}
	}
}
