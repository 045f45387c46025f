package fulmarcontrol

import (
	"context"
	"maps"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// stepUnfenced is the step for a target that doesn't check fences. The table assigns
// its dispatcher, and only the quorum lease bounds how long this daemon may send orders
// to it.
func (m *grantManager) stepUnfenced(ctx context.Context, t fulmarslot.Target) {
	if t.Dispatcher != m.c.Self.ID {
		if m.dispatcher != nil {
			m.stepDown(fulmaroutcome.NotHolder)
		}
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	state, err := m.c.Targets.State(callCtx, t.Address)
	m.c.mu.Lock()
	hasLease := m.c.updateLease(time.Now())
	epoch := m.c.table.Epoch()
	owned := m.c.table.OwnedBy(nil, m.id)
	m.c.mu.Unlock()
	switch {
	case err != nil && ctx.Err() == nil && m.dispatcher != nil && !m.targetLost:
		m.handleFailedCall(err)
	case err != nil:
		if m.dispatcher == nil && ctx.Err() == nil {
			m.handleFailedAcquire(err)
		}
	case !hasLease && m.dispatcher != nil:
		m.stepDown(fulmaroutcome.Stale)
	case hasLease && m.dispatcher == nil:
		m.setLost(false, nil)
		m.openDispatcher(ctx, t, takeover{stateBefore: state, grant: fulmargrant.Grant{Epoch: epoch, Slots: owned}, owned: owned})
	case hasLease && m.targetLost:
		m.stepDown(fulmaroutcome.NotHolder)
	case hasLease:
		m.failedCalls = 0
		m.updateStoppingSlots()
		m.applyAcceptedGrant(ctx, t, fulmargrant.Grant{Epoch: epoch, Slots: append(owned, m.busySlots()...)}, owned)
	}
}

// busySlots returns the stopped slots that still have work in flight.
func (m *grantManager) busySlots() []int {
	var out []int
	for slot, idle := range maps.All(m.stoppingSlots) {
		select {
		case <-idle:
		default:
			out = append(out, slot)
		}
	}
	return out
}
