package fulmarorder

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Probe returns an order that asks a target without keys whether it answers orders: the release of a key that it cannot hold. A grant
// would give keys to a target that may be lost, and a request would tell nothing of orders. If ok is false, there is no such key, or
// the target owns keys, so that other orders ask it.
//
// A target may handle an unanswered probe late, when it owns the key, and not serve it until its grant is renewed. So a probe names
// one key only, and none that has a range of its own, which is a busy one.
func (b *Scheduler) Probe(now time.Time, target fulmarrange.Incarnation) (o Order, ok bool) {
	if now.Before(b.heldUntil) || len(b.owned[target]) > 0 {
		return o, false
	}
	segments := b.table.Segments()
	b.probes++
	for i := range segments {
		s := segments[(b.probes+i)%len(segments)] // another key each time, as the target may be at work on one of its former keys
		if s.Owner.Incarnation.ID == target.ID || s.Keys() == 1 {
			continue
		}
		key := s.From + s.Keys()/2
		if free, _ := b.ledger.Free(now, target.ID, key, key); free {
			return Order{Kind: Release, Incarnation: target, From: key, To: key, Fence: s.Owner.Fence, Probe: true}, true
		}
	}
	return o, false
}
