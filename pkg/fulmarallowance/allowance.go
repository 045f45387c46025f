package fulmarallowance

import (
	"sync"
	"time"
)

// buckets is the number of steps in which a window slides.
const buckets = 20

// Rule is the bound of the fleet for one service.
type Rule struct {
	Ratio        float64 // repeats for each request
	FixedRetries float64 // repeats besides, of the whole fleet
	Window       time.Duration
}

// counts holds what happened in one step of the window.
type counts struct {
	step              int64
	requests, repeats int
}

// Allowance counts requests and repeats by service; it is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	rule     Rule
	step     time.Duration
	services map[string]*[buckets + 1]counts
}

// New returns an allowance without history; it panics unless the window is positive.
func New(r Rule) *RetryBudget {
	if r.Window <= 0 {
		panic("fulmarallowance: window must be positive")
	}
	return &RetryBudget{rule: r, step: r.Window / buckets, services: make(map[string]*[buckets + 1]counts)}
}

// at returns the counts of the step that now lies in.
func (a *RetryBudget) at(now time.Time, service string) *counts {
	ring := a.services[service]
	if ring == nil {
		ring = new([buckets + 1]counts)
		a.services[service] = ring
	}
	step := now.UnixNano() / int64(a.step)
	c := &ring[step%int64(len(ring))]
	if c.step != step {
		*c = counts{step: step}
	}
	return c
}

// SetRule replaces the bound; what was counted stays if the window has the same length.
func (a *RetryBudget) SetRule(r Rule) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Window <= 0 {
		panic("fulmarallowance: window must be positive")
	}
	if r.Window != a.rule.Window {
		a.services = make(map[string]*[buckets + 1]counts)
	}
	a.rule, a.step = r, r.Window/buckets
}

// Request records a caller's request for the service.
func (a *RetryBudget) RecordRequest(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at(now, service).requests++
}

// Take records a repeated send and reports whether the bound allows it. daemons is the number of
// instances that share the fixed number.
//
// Repeats of the whole window count, and requests of its latter half: a window that ends later may no longer
// contain the earlier ones.
func (a *RetryBudget) AllowRetry(now time.Time, service string, daemons int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.at(now, service)
	requests, repeats := 0, 0
	for _, c := range a.services[service] {
		age := current.step - c.step
		if age < 0 || age > buckets {
			continue
		}
		repeats += c.repeats
		if age < buckets/2 {
			requests += c.requests
		}
	}
	if float64(repeats+1) > a.rule.Ratio*float64(requests)+a.rule.FixedRetries/float64(max(daemons, 1)) {
		return false
	}
	current.repeats++
	return true
}
