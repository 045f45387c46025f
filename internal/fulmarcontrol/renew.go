package fulmarcontrol

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// prepareGrant returns the grant to send next and the slots that the target owns, or
// false without the quorum lease. It records the latest possible expiry of the grant,
// under the same lock, before the grant is sent.
func (m *grantManager) prepareGrant(term uint64, stamp time.Duration, stampReceived time.Time) (fulmargrant.Grant, []int, bool) {
	c := m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.updateLease(now) {
		return fulmargrant.Grant{}, nil, false
	}
	owned := c.table.OwnedBy(nil, m.id)
	slots := append(slices.Clone(owned), m.drainingSlots()...)
	slices.Sort(slots)
	slots = slices.Compact(slots)
	c.grantExpiries[m.id].record(now, slots, stampReceived.Add(maxGrantLifetime(c.Timing.GrantTTL)))
	return fulmargrant.Grant{
		Holder: c.holderName(), Term: term, Epoch: c.table.Epoch(), Slots: slots, Stamp: stamp, TTL: c.Timing.GrantTTL,
	}, owned, true
}

// drainingSlots returns the stopped slots that the grant must keep until their work in
// flight has ended. It omits slots of forced moves, which don't wait for work: a grant
// with such a slot could outlast the move, and the slot would have two owners. mu must
// be held.
func (m *grantManager) drainingSlots() []int {
	t, ok := m.c.table.Target(m.id)
	if !ok {
		return nil
	}
	return slices.DeleteFunc(m.busySlots(), func(slot int) bool {
		return m.c.table.Assignment(t.Service, slot).Forced
	})
}

// maxGrantLifetime returns the time after which a grant has expired at the target,
// measured by a local clock that may run faster by maxClockDrift.
func maxGrantLifetime(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*maxClockDrift)
}

// renew extends the grant and updates its slots. For a lost target it checks instead
// whether the target is back.
func (m *grantManager) renew(ctx context.Context, t fulmarslot.Target) {
	m.updateStoppingSlots()
	if m.targetLost {
		m.transferForcedMoves(ctx, t)
		m.probeLostTarget(ctx, t)
		return
	}
	if m.handoverUnresolved {
		m.resolveHandover(ctx, t)
		return
	}
	g, owned, ok := m.prepareGrant(m.term, m.stamp, m.stampReceived)
	if !ok {
		m.c.Counter.Count("renewal_without_lease")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	running := m.dispatcher.Running()
	state, err := m.c.Targets.Grant(callCtx, t.Address, g)
	received := time.Now()
	var refused *fulmargrant.RefusedError
	switch {
	case errors.As(err, &refused):
		m.handleRefusal(state, refused, received)
	case err != nil && ctx.Err() == nil:
		m.handleFailedCall(err)
	case err == nil:
		m.failedCalls = 0
		m.adjustConcurrency(state, running)
		m.stamp, m.stampReceived = state.Stamp, received
		m.applyAcceptedGrant(ctx, t, g, owned)
	}
}

// adjustConcurrency reduces the number of concurrent requests by the work that a former
// dispatcher started and that is still running. running is the number of orders that
// this dispatcher had in flight when the call to the target was sent.
func (m *grantManager) adjustConcurrency(state fulmargrant.State, running int) {
	others := max(state.Running-max(running, m.dispatcher.Running()), 0)
	m.dispatcher.SetSlots(max(state.Capacity-others, 1))
}

// handleRefusal handles a target that refuses the renewal. Either another daemon took
// the target over, or the target restarted and lost its clock and its grant.
func (m *grantManager) handleRefusal(state fulmargrant.State, refused *fulmargrant.RefusedError, received time.Time) {
	if state.Term < m.term {
		m.c.Log.Warn("target restarted", "target", m.id)
		m.handleRestart()
		return
	}
	if state.Term > m.term || (state.Term == m.term && state.Holder != m.c.holderName()) {
		m.c.Log.Info("target taken over by another daemon", "target", m.id, "term", state.Term, "holder", state.Holder)
		m.stepDown(fulmaroutcome.NotHolder)
		return
	}
	m.c.Counter.Count("grant_refused")
	m.c.Log.Warn("grant refused", "target", m.id, "reason", refused.Reason, "term", state.Term, "epoch", state.Epoch)
	// The refusal carries a newer stamp, with which the target accepts the next renewal.
	m.stamp, m.stampReceived = state.Stamp, received
}

// handleRestart ends the grant of a target that was restarted as a new process. Work
// that was in flight is suspected of having caused it, as when a target is lost.
func (m *grantManager) handleRestart() {
	m.c.Counter.Count("target_restarted")
	m.dispatcher.Suspend()
	m.markSuspects(m.dispatcher.Lost())
	m.stepDown(fulmaroutcome.NotHolder)
}

// handleFailedCall counts a failed call and declares the target lost after
// failuresUntilLost of them in a row.
func (m *grantManager) handleFailedCall(err error) {
	m.failedCalls++
	m.c.Counter.Count("renewal_failed")
	if m.failedCalls < failuresUntilLost {
		return
	}
	m.c.Log.Warn("target lost", "target", m.id, "error", err)
	m.c.Counter.Count("target_lost")
	m.dispatcher.Suspend()
	m.setLost(true, m.markSuspects(m.dispatcher.Lost()))
}

// markSuspects marks the fingerprints of work that was in flight at a loss as suspect
// in the local guard at once. Other daemons receive the marks with the table.
func (m *grantManager) markSuspects(fingerprints []uint64) []uint64 {
	if len(fingerprints) > 0 {
		m.c.Guard.RecordLoss(time.Now(), fingerprints)
	}
	return fingerprints
}

// setLost sets whether the target is lost, with the fingerprints that may have caused
// it, and wakes the planner on a change.
func (m *grantManager) setLost(lost bool, suspects []uint64) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.targetLost == lost && !lost {
		return
	}
	m.targetLost, m.suspects = lost, suspects
	m.c.notifyChange()
	m.c.wakePlanner()
}

// probeLostTarget checks whether a lost target is back and gives up its grant if so.
// The takeover by a new term then starts from the state that the target reports.
func (m *grantManager) probeLostTarget(ctx context.Context, t fulmarslot.Target) {
	callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	if _, err := m.c.Targets.State(callCtx, t.Address); err != nil {
		return
	}
	m.c.Log.Info("lost target answers again", "target", m.id)
	m.stepDown(fulmaroutcome.NotHolder)
}

// applyAcceptedGrant applies a grant that the target accepted to the dispatcher: it
// admits work for new slots and releases the stopped slots that the grant lacks.
func (m *grantManager) applyAcceptedGrant(ctx context.Context, t fulmarslot.Target, g fulmargrant.Grant, owned []int) {
	m.importDedupRecords(t, owned)
	m.dispatcher.Grant(g.Epoch, owned)
	m.admittedSlots = owned
	var released []int
	for slot := range m.stoppingSlots {
		if !slices.Contains(g.Slots, slot) {
			released = append(released, slot)
		}
	}
	if len(released) > 0 {
		slices.Sort(released)
		m.releaseSlots(ctx, t, g.Epoch, released)
	}
}
