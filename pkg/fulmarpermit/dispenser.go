package fulmarpermit

import (
	"sync"
	"time"
)

const (
	// burstTime is the time for which unused permits are kept, besides maxReserve permits. It makes up for the random
	// intervals between requests.
	burstTime = 250 * time.Millisecond
	// maxReserve is the largest number of permits that a request leaves to more urgent ones.
	maxReserve = 2
	// minRate is the rate of permits for limits below it, zero among them, in requests per second. Only an answer of the
	// target can end its limit.
	minRate = 0.25
)

// Request describes a request for which a permit is needed.
type Request struct {
	Target   string
	MaxWait  time.Duration // longest time until the request may be sent
	Priority int           // 0 is the most urgent
	Bounded  bool          // the leader bounds the requests at the target, which need not have stated a limit
}

// reserve returns the number of permits that must remain for more urgent requests.
func (r Request) reserve() int { return min(max(r.Priority, 0), maxReserve) }

// Dispenser dispenses permits at the rates of the targets' limits; it is safe for concurrent use.
type Dispenser struct {
	mu       sync.Mutex
	lastSlot map[string]time.Time // by target: the time for which the last permit was given
}

// New returns a dispenser that has no unused permits, as another one may have given those of the moment before.
func New() *Dispenser { return &Dispenser{lastSlot: make(map[string]time.Time)} }

// Take takes a permit for a request to a target whose limit is rate, in requests per second. The request may be sent
// after wait, at most its MaxWait. If ok is false, no permit for such a request becomes available before wait has passed.
func (d *Dispenser) Take(now time.Time, rate float64, r Request) (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	interval := time.Duration(float64(time.Second) / max(rate, minRate))
	last, known := d.lastSlot[r.Target]
	if !known {
		last = now.Add(-interval)
		d.lastSlot[r.Target] = last
	}
	slot := last.Add(interval)
	if earliest := now.Add(-burstTime - maxReserve*interval); slot.Before(earliest) {
		slot = earliest
	}
	if available := slot.Add(time.Duration(r.reserve()) * interval).Sub(now); available > r.MaxWait {
		return available, false
	}
	d.lastSlot[r.Target] = slot
	return max(0, slot.Sub(now)), true
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
