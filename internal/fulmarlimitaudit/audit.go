package fulmarlimitaudit

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Figures of the users' rule.
const (
	window       = 4 * time.Second
	contactTime  = 3 * time.Second // after the first statement, until the rule holds
	noticeTime   = 500 * time.Millisecond
	overFactor   = 1.5
	overRequests = 5
)

// period is a time in which a target states the same limit, none if the rate is infinite.
type period struct {
	from time.Time
	rate float64
}

// Audit records the limits that one target states and the requests that arrive there; it is safe for concurrent use.
type Audit struct {
	mu       sync.Mutex
	periods  []period
	arrivals []time.Time
}

// New returns an audit of a target without a limit.
func New() *Audit { return &Audit{} }

// SetLimit records that the target states a limit, in requests per second, from now on; +Inf ends the limit.
func (a *Audit) SetLimit(now time.Time, rate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.periods = append(a.periods, period{now, rate})
}

// Limit returns the limit that the target states, +Inf for none.
func (a *Audit) Limit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.periods) == 0 {
		return math.Inf(1)
	}
	return a.periods[len(a.periods)-1].rate
}

// Arrive records a request that arrives at now. Arrivals are recorded in the order of their times.
func (a *Audit) Arrive(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.periods) > 0 {
		a.arrivals = append(a.arrivals, now)
	}
}

// Excess describes the first window in which the target got more requests than allowed, or returns an empty string.
func (a *Audit) Excess() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := 0
	for first, from := range a.arrivals {
		for last < len(a.arrivals) && a.arrivals[last].Sub(from) < window {
			last++
		}
		if allowed := overFactor*a.permitted(from) + overRequests; float64(last-first) > allowed {
			return fmt.Sprintf("%d requests in %v from %s on, allowed %.0f", last-first, window, from.Format("15:04:05.000"), allowed)
		}
	}
	return ""
}

// permitted returns how many requests the stated limits permit in the window that begins at from, +Inf if the rule does
// not hold in the whole window. A lower limit counts from noticeTime after it was first stated.
func (a *Audit) permitted(from time.Time) float64 {
	const step = 10 * time.Millisecond
	sum := 0.0
	for at := from; at.Before(from.Add(window)); at = at.Add(step) {
		rate, since := a.limitAt(at)
		if at.Sub(since) < contactTime {
			return math.Inf(1)
		}
		earlier, _ := a.limitAt(at.Add(-noticeTime))
		sum += max(rate, earlier) * step.Seconds()
	}
	return sum
}

// limitAt returns the limit at a moment and since when the target has stated limits without an end.
func (a *Audit) limitAt(at time.Time) (rate float64, since time.Time) {
	rate, since = math.Inf(1), at
	for _, p := range a.periods {
		if p.from.After(at) {
			break
		}
		if math.IsInf(rate, 1) {
			since = p.from
		}
		rate = p.rate
	}
	return rate, since
}
