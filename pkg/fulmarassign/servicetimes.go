package fulmarassign

import (
	"math"
	"time"
)

const (
	initialServiceTime = 0.1              // seconds; assumed before the first request
	minServiceTime     = 1e-3             // seconds
	priorWeight        = 8.0              // weight of the mean of all targets in each estimate, in requests
	longTimeWindow     = 20 * time.Second // observations lose 63% of their weight in this time
	shortTimeWindow    = 1500 * time.Millisecond
	// changedTimeFactor is the ratio of the recent to the long-term service time, or its inverse, above which a target
	// has become slower or faster.
	changedTimeFactor = 1.6
	minRecentRequests = 6.0 // requests needed to detect such a change
)

// ServiceTimes estimates the service time of requests at each target of a service; it is not safe for concurrent
// use.
type ServiceTimes struct {
	targets map[string]*targetTimes
	all     decayingMean
}

// targetTimes holds the long-term and the recent service times of a target, and the recent times of abandoned requests.
type targetTimes struct{ long, short, abandoned decayingMean }

// decayingMean is a mean with exponentially decaying weights.
type decayingMean struct {
	sum, weight float64
	updated     time.Time
}

func (m *decayingMean) decay(now time.Time, span time.Duration) {
	if passed := now.Sub(m.updated); passed > 0 {
		factor := math.Exp(-passed.Seconds() / span.Seconds())
		m.sum *= factor
		m.weight *= factor
		m.updated = now
	}
}

func (m *decayingMean) add(now time.Time, span time.Duration, sum, n float64) {
	m.decay(now, span)
	m.sum += sum
	m.weight += n
}

// NewServiceTimes returns an estimator without observations.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{targets: make(map[string]*targetTimes)} }

func (t *ServiceTimes) estimate(target string) *targetTimes {
	e := t.targets[target]
	if e == nil {
		e = &targetTimes{}
		t.targets[target] = e
	}
	return e
}

// AddAbandoned records that n requests were abandoned without an answer after a total time of sum. They count only for
// a target that answers hardly any request, because with long queues some requests are abandoned at fast targets too.
func (t *ServiceTimes) AddAbandoned(now time.Time, target string, sum time.Duration, n int) {
	if n == 0 {
		return
	}
	e := t.estimate(target)
	e.short.decay(now, shortTimeWindow)
	e.abandoned.add(now, shortTimeWindow, sum.Seconds(), float64(n))
	if e.short.weight < minRecentRequests {
		e.long.add(now, longTimeWindow, sum.Seconds(), float64(n))
	}
}

// AddCompleted records that n requests took a total time of sum at a target.
func (t *ServiceTimes) AddCompleted(now time.Time, target string, sum time.Duration, n int) {
	e := t.estimate(target)
	e.long.add(now, longTimeWindow, sum.Seconds(), float64(n))
	e.short.add(now, shortTimeWindow, sum.Seconds(), float64(n))
	t.all.add(now, longTimeWindow, sum.Seconds(), float64(n))
}

// Get returns the estimated service time at a target in seconds. For targets with few observations it tends to the
// mean of all targets.
func (t *ServiceTimes) Get(now time.Time, target string) float64 {
	t.all.decay(now, longTimeWindow)
	overall := (t.all.sum + initialServiceTime) / (t.all.weight + 1)
	e := t.targets[target]
	if e == nil {
		return max(overall, minServiceTime)
	}
	e.long.decay(now, longTimeWindow)
	e.short.decay(now, shortTimeWindow)
	e.abandoned.decay(now, shortTimeWindow)
	longTerm := max((e.long.sum+overall*priorWeight)/(e.long.weight+priorWeight), minServiceTime)
	if e.short.weight >= minRecentRequests {
		recent := max(e.short.sum/e.short.weight, minServiceTime)
		if recent > changedTimeFactor*longTerm || recent < longTerm/changedTimeFactor {
			return recent
		}
	} else if n := e.short.weight + e.abandoned.weight; n >= minRecentRequests {
		return max(longTerm, (e.short.sum+e.abandoned.sum)/n)
	}
	return longTerm
}

// Retain drops the targets for which keep returns false.
func (t *ServiceTimes) Retain(keep func(target string) bool) {
	for id := range t.targets {
		if !keep(id) {
			delete(t.targets, id)
		}
	}
}
