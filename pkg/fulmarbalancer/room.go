package fulmarbalancer

import (
	"math"
	"time"
)

// HasFreeSlot reports whether the requests that Acquire has counted at the target find a free slot there, as far as its last
// report of its load is still current.
func (b *Balancer) HasFreeSlot(now time.Time, c Candidate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(c.ID)
	others := t.othersLoad * math.Exp(-now.Sub(t.loadAt).Seconds()/loadDecay.Seconds())
	return float64(t.inFlight)+others <= float64(max(c.Slots, 1))
}
