package fulmarpermit

import (
	"sync"
	"time"
)

const (
	// burstTime is the time for which unused permits are kept. It makes up for the random intervals between requests.
	burstTime = 250 * time.Millisecond
	// minRate is the rate of permits for limits below it, zero among them, in requests per second. Only an answer of the
	// target can end its limit.
	minRate = 0.25
)

// Dispenser dispenses permits at the rates of the targets' limits; it is safe for concurrent use.
type Dispenser struct {
	mu       sync.Mutex
	lastSlot map[string]time.Time // by target: the time for which the last permit was given
}

// New returns a dispenser that has no unused permits, as another one may have given those of the moment before.
func New() *Dispenser { return &Dispenser{lastSlot: make(map[string]time.Time)} }

// Take takes a permit for a request to a target whose limit is rate, in requests per second. The request may be sent
// after wait, at most maxWait. If ok is false, no permit becomes available before wait has passed.
func (d *Dispenser) Take(now time.Time, target string, rate float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot := now
	if last, known := d.lastSlot[target]; known {
		slot = last.Add(time.Duration(float64(time.Second) / max(rate, minRate)))
		if earliest := now.Add(-burstTime); slot.Before(earliest) {
			slot = earliest
		}
	}
	wait = max(0, slot.Sub(now))
	if wait > maxWait {
		return wait, false
	}
	d.lastSlot[target] = slot
	return wait, true
}

// Retain drops the state of targets for which keep returns false.
func (d *Dispenser) Retain(keep func(target string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for target := range d.lastSlot {
		if !keep(target) {
			delete(d.lastSlot, target)
		}
	}
}
