package fulmarbalancer

import (
	"iter"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	latencyWeight  = 0.15                   // weight of the latest response time in the moving average
	loadDecay      = 150 * time.Millisecond // time constant of reported load: 63% of its weight is lost after it
	initialLatency = 80 * time.Millisecond  // assumed response time of a target without samples
	failureDecay   = 2 * time.Second        // time constant of the failure score
	failurePenalty = 1.0                    // relative increase of the cost for each point of the failure score
	remotePenalty  = 0.5                    // relative increase of the cost for a target in another data centre
	coldPenalty    = 1.0                    // relative increase of the cost for a target that has just started
	needPenalty    = 1.0                    // relative increase of the cost for a target in need, for which a permit must be asked
	noWaitFactor   = 1.5                    // a cost of up to this multiple of the mean response time means no queueing
	costJitter     = 0.05                   // largest random relative increase of the cost
)

// Candidate is a target that can serve a request.
type Candidate struct {
	ID     string
	Slots  int
	Remote bool // in another data centre
	Cold   bool // started recently
	InNeed bool // has stated a limit of requests
}

// Load is what a target reports about itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes now divided by the usual time. Zero means that the target does not report it.
	Slowdown float64
}

// target holds what the balancer knows about one target.
type target struct {
	inFlight         int       // requests of this daemon
	othersLoad       float64   // running and waiting requests of other daemons, as reported
	loadAt           time.Time // time of the last load report
	meanSeconds      float64   // moving average of the response time
	decayingFailures float64   // failure score at failedAt
	failedAt         time.Time
	queueRounds      float64 // waiting requests per slot at the last load report
	slowdown         float64 // at the last load report, 1 if the target does not report it
	sample           Sample  // since the last call of TakeSamples
	use              Use     // since the last call of TakeUses, without InFlight
}

// Balancer estimates the cost of a request at each target; it is safe for concurrent use.
type Balancer struct {
	mu          sync.Mutex
	random      *rand.Rand
	targets     map[string]*target
	used        map[string]bool // targets whose use has changed since the last call of TakeUses
	minCompared int
}

// New returns a balancer that compares at least minCompared candidates for each request. All random numbers come from
// src.
func New(minCompared int, src rand.Source) *Balancer {
	if minCompared < 1 {
		panic("fulmarbalancer: number of compared candidates must be positive")
	}
	return &Balancer{random: rand.New(src), targets: make(map[string]*target), used: make(map[string]bool), minCompared: minCompared}
}

func (b *Balancer) target(id string) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{meanSeconds: initialLatency.Seconds(), slowdown: 1}
		b.targets[id] = t
	}
	return t
}

// Choose returns the index of the cheapest candidate at which this daemon has fewer than limit requests in flight, or
// -1 if there is none. Candidates are compared in the given order. Once the minimum number has been compared, the
// search ends as soon as a request would not have to queue at the cheapest candidate so far. A daemon thus prefers the
// first targets of its order while they have free slots, and needs few connections. The sequence is read only as far as the
// search goes, as a service may have hundreds of targets.
func (b *Balancer) Choose(now time.Time, candidates iter.Seq[Candidate], limit int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestCost, bestMean := -1, math.Inf(1), 0.0
	compared, i := 0, -1
	for c := range candidates {
		i++
		if compared >= b.minCompared && best >= 0 && bestCost <= bestMean*noWaitFactor {
			break
		}
		t := b.target(c.ID)
		if t.inFlight >= limit {
			continue
		}
		compared++
		cost := t.expectedSeconds(now, c)
		// Costs are often equal while there are few samples; the jitter keeps daemons from choosing the same target.
		cost *= 1 + costJitter*b.random.Float64()
		if cost < bestCost {
			best, bestCost, bestMean = i, cost, t.meanSeconds
		}
	}
	return best
}

// recency returns the weight of the last load report at now, 1 for a new one.
func (t *target) recency(now time.Time) float64 {
	return math.Exp(-now.Sub(t.loadAt).Seconds() / loadDecay.Seconds())
}

// expectedSeconds returns the expected response time of a new request in seconds, with all penalties.
func (t *target) expectedSeconds(now time.Time, c Candidate) float64 {
	recency := t.recency(now)
	others := t.othersLoad * recency
	pending := float64(t.inFlight) + others
	slots := float64(max(c.Slots, 1))
	// A request that finds all slots occupied waits for earlier ones. Occupied slots add up to 0.2 rounds even while one
	// is free, which favours targets with less load.
	rounds := 1 + max(0, pending+1-slots)/slots + 0.2*min(pending, slots)/slots
	cost := t.meanSeconds * rounds * (1 + (t.slowdown-1)*recency)
	cost *= 1 + failurePenalty*t.failureScore(now)
	if c.Remote {
		cost *= 1 + remotePenalty
	}
	if c.Cold {
		cost *= 1 + coldPenalty
	}
	if c.InNeed {
		cost *= 1 + needPenalty
	}
	return cost
}

// failureScore returns the sum of the failures, in which the weight of each failure decays exponentially with its age.
func (t *target) failureScore(now time.Time) float64 {
	return t.decayingFailures * math.Exp(-now.Sub(t.failedAt).Seconds()/failureDecay.Seconds())
}

// Acquire counts a request as in flight at the target. It returns false if limit requests are already in flight there.
func (b *Balancer) Acquire(id string, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	if t.inFlight >= limit {
		return false
	}
	t.inFlight++
	b.used[id] = true
	return true
}

// InFlight returns the number of requests in flight at the target.
func (b *Balancer) InFlight(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[id]; t != nil {
		return t.inFlight
	}
	return 0
}

// Release ends the count of a request that Acquire counted.
func (b *Balancer) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[id]; t != nil {
		t.inFlight--
		b.used[id] = true
	}
}

// RecordServed records the response time of a request.
func (b *Balancer) RecordServed(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	t.meanSeconds += latencyWeight * (took.Seconds() - t.meanSeconds)
	t.decayingFailures *= 1 - latencyWeight // a served request lowers the failure score, too
	// The response time includes the time in the target's queue, about queueRounds times the time of one request.
	t.use.Served++
	t.use.ServedTime += took
	b.used[id] = true
	t.sample.Served++
	t.sample.ServedTime += time.Duration(float64(took) / (1 + t.queueRounds))
}

// RecordAbandoned records that a request was cancelled after it had waited for a response. The wait is a lower bound of
// the response time, so a wait below the mean response time is ignored.
func (b *Balancer) RecordAbandoned(id string, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	seconds := waited.Seconds() / (1 + t.queueRounds)
	if seconds <= t.meanSeconds {
		return
	}
	t.sample.Abandoned++
	t.sample.AbandonedTime += time.Duration(seconds * float64(time.Second))
}

// RecordFailure records a request that the target failed or rejected.
func (b *Balancer) RecordFailure(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	t.decayingFailures = t.failureScore(now) + 1
	t.failedAt = now
	t.use.Failed++
	b.used[id] = true
}

// RecordLoad records the load that the target reported with a response at now.
func (b *Balancer) RecordLoad(now time.Time, id string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	t.othersLoad = float64(max(l.Running+l.Waiting-t.inFlight, 0))
	t.loadAt = now
	t.use.Load, t.use.LoadAt = l, now
	b.used[id] = true
	t.queueRounds = float64(l.Waiting) / float64(max(l.Slots, 1))
	if t.slowdown = l.Slowdown; t.slowdown <= 0 {
		t.slowdown = 1
	}
}

// Sample holds the number of served and of abandoned requests, each with the sum of their times.
type Sample struct {
	Served        int
	ServedTime    time.Duration
	Abandoned     int
	AbandonedTime time.Duration
}

// TakeSamples returns and resets the samples of each target. Their times exclude the time in the target's queue, which
// is estimated from the reported load.
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

// Retain drops the targets that have no request in flight and for which keep returns false.
func (b *Balancer) Retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.targets {
		if t.inFlight == 0 && !keep(id) {
			delete(b.targets, id)
			delete(b.used, id)
		}
	}
}
