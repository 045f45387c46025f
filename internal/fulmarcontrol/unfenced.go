package fulmarcontrol

import (
	"context"
	"maps"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// stepUnfenced keeps a target that checks no fence. Its dispatcher is fixed
// in the table, and only the quorum lease bounds how long this daemon may
// send orders to it.
func (k *keeper) stepUnfenced(ctx context.Context, t fulmarslot.Target) {
	if t.Dispatcher != k.c.Self.ID {
		if k.dispatcher != nil {
			k.stepDown(fulmaroutcome.NotHolder)
		}
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	state, err := k.c.Targets.State(callCtx, t.Address)
	k.c.mu.Lock()
	held := k.c.held(time.Now())
	epoch := k.c.table.Epoch()
	owned := k.c.table.OwnedBy(nil, k.id)
	k.c.mu.Unlock()
	switch {
	case err != nil && ctx.Err() == nil && k.dispatcher != nil && !k.lost:
		k.failed(err)
	case err != nil:
		if k.dispatcher == nil && ctx.Err() == nil {
			k.acquireFailed(err)
		}
	case !held && k.dispatcher != nil:
		k.stepDown(fulmaroutcome.Stale)
	case held && k.dispatcher == nil:
		k.setLost(false, nil)
		k.open(ctx, t, takeover{before: state, grant: fulmargrant.Grant{Epoch: epoch, Slots: owned}, owned: owned})
	case held && k.lost:
		k.stepDown(fulmaroutcome.NotHolder)
	case held:
		k.failures = 0
		k.stopMoving()
		k.inForce(ctx, t, fulmargrant.Grant{Epoch: epoch, Slots: append(owned, k.busy()...)}, owned)
	}
}

// busy returns the stopped slots that still have work in flight.
func (k *keeper) busy() []int {
	var out []int
	for slot, idle := range maps.All(k.stopping) {
		select {
		case <-idle:
		default:
			out = append(out, slot)
		}
	}
	return out
}
