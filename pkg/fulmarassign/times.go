package fulmarassign

import (
	"math"
	"time"
)

const (
	usualTime = 0.1 // seconds, assumed before any request was seen
	minTime   = 1e-3
	prior     = 8.0              // requests' worth of belief that a target is like the others
	longTime  = 20 * time.Second // in which what was seen loses 63% of its weight
	shortTime = 1500 * time.Millisecond
	// A target has become slower or faster if its latest requests took that many times longer or shorter.
	turned = 1.6
	enough = 6.0 // requests on which such a judgement rests at least
)

// Times estimates how long requests take at each target of a service; it is not safe for concurrent use.
type ServiceTimes struct {
	targets map[string]*estimate
	all     mean
}

// estimate holds the usual and the latest times of a target, and the latest ones of requests that were given up.
type estimate struct{ long, short, lost mean }

// mean is an aging mean.
type mean struct {
	sum, weight float64
	at          time.Time
}

func (m *mean) age(now time.Time, span time.Duration) {
	if passed := now.Sub(m.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / span.Seconds())
		m.sum *= factor
		m.weight *= factor
		m.at = now
	}
}

func (m *mean) add(now time.Time, span time.Duration, sum, n float64) {
	m.age(now, span)
	m.sum += sum
	m.weight += n
}

// NewTimes returns times without observations.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{targets: make(map[string]*estimate)} }

func (t *ServiceTimes) estimate(target string) *estimate {
	e := t.targets[target]
	if e == nil {
		e = &estimate{}
		t.targets[target] = e
	}
	return e
}

// Abandon records that n requests were given up without an answer, after sum in all. They count only for a target that
// answers hardly any: where many requests wait, some are given up at fast targets as well.
func (t *ServiceTimes) AddAbandoned(now time.Time, target string, sum time.Duration, n int) {
	if n == 0 {
		return
	}
	e := t.estimate(target)
	e.short.age(now, shortTime)
	e.lost.add(now, shortTime, sum.Seconds(), float64(n))
	if e.short.weight < enough {
		e.long.add(now, longTime, sum.Seconds(), float64(n))
	}
}

// Add records that n requests took sum at a target.
func (t *ServiceTimes) AddCompleted(now time.Time, target string, sum time.Duration, n int) {
	e := t.estimate(target)
	e.long.add(now, longTime, sum.Seconds(), float64(n))
	e.short.add(now, shortTime, sum.Seconds(), float64(n))
	t.all.add(now, longTime, sum.Seconds(), float64(n))
}

// Get returns the usual time of a request at a target in seconds. Little known targets are taken to be like the
// others.
func (t *ServiceTimes) Get(now time.Time, target string) float64 {
	t.all.age(now, longTime)
	others := (t.all.sum + usualTime) / (t.all.weight + 1)
	e := t.targets[target]
	if e == nil {
		return max(others, minTime)
	}
	e.long.age(now, longTime)
	e.short.age(now, shortTime)
	e.lost.age(now, shortTime)
	usual := max((e.long.sum+others*prior)/(e.long.weight+prior), minTime)
	if e.short.weight >= enough {
		latest := max(e.short.sum/e.short.weight, minTime)
		if latest > turned*usual || latest < usual/turned {
			return latest
		}
	} else if n := e.short.weight + e.lost.weight; n >= enough {
		return max(usual, (e.short.sum+e.lost.sum)/n)
	}
	return usual
}

// Retain drops the targets for which keep is false.
func (t *ServiceTimes) Retain(keep func(target string) bool) {
	for id := range t.targets {
		if !keep(id) {
			delete(t.targets, id)
		}
	}
}
