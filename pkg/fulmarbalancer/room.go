package fulmarbalancer

import "time"

// HasFreeSlot reports whether the requests that Acquire has counted at the target find a free slot there, as far as its last
// report of its load is still current.
func (b *Balancer) HasFreeSlot(now time.Time, c Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(c.ID)
	return float64(t.inFlight)+t.othersLoad*t.recency(now) <= float64(max(c.Slots, 1))
}
