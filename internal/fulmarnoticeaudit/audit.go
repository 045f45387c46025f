package fulmarnoticeaudit

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the users' rules.
const (
	pauseNotice   = 500 * time.Millisecond // after the answer, until a pause counts
	pauseRequests = 2                      // requests that a target may get within a pause
)

// pause is a time in which a target wants no requests from a daemon.
type pause struct {
	from, until time.Time
	arrivals    int
}

// Audit records what one target says and the requests that arrive there; it is safe for concurrent use. A daemon is named
// anew after each fault that excuses it from what it knew before.
type Audit struct {
	drain time.Duration

	mu         sync.Mutex
	leaving    map[string]time.Time // by daemon: when it first passed on an answer that says that the target leaves
	pauses     map[string][]*pause  // by daemon
	violations []string
}

// New returns an audit of a target that accepts requests for drain after it has said that it leaves.
func New(drain time.Duration) *Audit {
	return &Audit{drain: drain, leaving: make(map[string]time.Time), pauses: make(map[string][]*pause)}
}

// PassLeaving records that a daemon passed on an answer at now that says that the target leaves.
func (a *Audit) PassLeaving(now time.Time, daemon string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.leaving[daemon]; !ok {
		a.leaving[daemon] = now
	}
}

// AskPause records that the target asked a daemon at now for no requests until a later time.
func (a *Audit) AskPause(now, until time.Time, daemon string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pauses[daemon] = append(a.pauses[daemon], &pause{from: now.Add(pauseNotice), until: until})
}

// Arrive records a request that arrives from a daemon at now and that a caller sent at sentAt.
func (a *Audit) Arrive(now, sentAt time.Time, daemon string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if since, ok := a.leaving[daemon]; ok && sentAt.Sub(since) > a.drain {
		a.violations = append(a.violations, fmt.Sprintf("DRAIN: a request sent %v after daemon %s had passed on that the target leaves", sentAt.Sub(since), daemon))
	}
	for _, p := range a.pauses[daemon] {
		if now.Before(p.from) || now.After(p.until) {
			continue
		}
		if p.arrivals++; p.arrivals == pauseRequests+1 {
			a.violations = append(a.violations, fmt.Sprintf("BUDGET: %d requests of daemon %s within a pause, the last one %v before its end", p.arrivals, daemon, p.until.Sub(now)))
		}
	}
}

// Violations describes the requests that should not have arrived.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}
