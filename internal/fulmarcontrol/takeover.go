package fulmarcontrol

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// acquire takes the target over unless a live daemon holds it, and returns the reason
// if it doesn't, or an empty string. handover is the offer of the former dispatcher,
// nil if there is none.
func (m *grantManager) acquire(ctx context.Context, t fulmarslot.Target, handover *fulmarwire.Handover) string {
	callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	state, err := m.c.Targets.State(callCtx, t.Address)
	received := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			m.handleFailedAcquire(err)
		}
		return "target does not answer"
	}
	m.failedCalls = 0
	m.setLost(false, nil)
	if handover == nil && m.heldByOther(state, received) {
		return "held by another daemon"
	}
	// A restarted target has lost its term. A term derived from the clock exceeds
	// those that its previous process accepted.
	term := max(state.Term+1, uint64(received.UnixMilli()))
	if handover != nil {
		if state.Term != handover.Term {
			return "held by another daemon since"
		}
		// The former dispatcher may request the same term; see resolveHandover.
		term = handover.Term + 1
	}
	g, owned, ok := m.prepareGrant(term, state.Stamp, received)
	if !ok {
		return "no quorum lease"
	}
	stateAfter, err := m.c.Targets.Grant(callCtx, t.Address, g)
	received = time.Now()
	if err != nil {
		m.c.Log.Info("takeover refused", "target", m.id, "error", err)
		return "takeover refused"
	}
	m.term, m.stamp, m.stampReceived = term, stateAfter.Stamp, received
	m.openDispatcher(ctx, t, takeover{stateBefore: state, stateAfter: stateAfter, stateReceived: received, grant: g, owned: owned, handover: handover})
	return ""
}

// handleFailedAcquire repeats a failed call to a target without a dispatcher and
// declares the target lost after failuresUntilLost failures in a row.
func (m *grantManager) handleFailedAcquire(err error) {
	m.failedCalls++
	if m.failedCalls < failuresUntilLost {
		time.AfterFunc(failedCallRetryDelay, m.wake)
		return
	}
	if !m.targetLost {
		m.c.Log.Warn("target lost before takeover", "target", m.id, "error", err)
		m.setLost(true, nil)
	}
}

// heldByOther reports whether a live daemon holds the target. A live holder whose
// grant has expired has holderGracePeriod to renew it before it is displaced.
func (m *grantManager) heldByOther(state fulmargrant.State, now time.Time) bool {
	c := m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	id, incarnation, ok := parseHolder(state.Holder)
	if !ok || state.Holder == c.holderName() || id == c.Self.ID {
		return false
	}
	p, known := c.peers[id]
	if !known || p.Incarnation != incarnation || c.detector.State(now, id) == fulmarmember.Down {
		// A daemon that is partitioned from the majority can't tell whether the
		// holder is down. If it displaced holders that renew their grants, both sides
		// would take the target from each other repeatedly.
		return state.Remaining > 0 && !c.reachesMajority(now)
	}
	c.holderHints[m.id] = id
	if state.Remaining > 0 {
		m.holderExpiredSince = time.Time{}
		return true
	}
	if m.holderExpiredSince.IsZero() {
		m.holderExpiredSince = now
	}
	return now.Sub(m.holderExpiredSince) < holderGracePeriod
}

// reachesMajority reports whether a majority of the roster, including this daemon, is
// not down; mu must be held.
func (c *Controller) reachesMajority(now time.Time) bool {
	roster, reached := c.table.Roster(), 0
	for _, m := range roster {
		if m.ID == c.Self.ID || c.detector.State(now, m.ID) != fulmarmember.Down {
			reached++
		}
	}
	return 2*reached > len(roster)
}

// takeover describes a grant by which this daemon became the dispatcher of a target.
type takeover struct {
	stateBefore, stateAfter fulmargrant.State // state of the target before and after the grant
	stateReceived           time.Time         // when stateAfter was received
	grant                   fulmargrant.Grant
	owned                   []int
	handover                *fulmarwire.Handover // nil unless the former dispatcher offered the target
}

// completeSince returns a time after which no order of an earlier dispatcher started
// for the keys of the returned slots. The target reports when it last admitted an
// order. That time is valid only for slots that the target has owned since the last
// grant, because an order for another slot may also have run at a previous owner.
func (c *Controller) completeSince(t takeover, target string) (at time.Time, slots []int) {
	if t.stateAfter.LastActivity == 0 || t.stateBefore.Term == 0 {
		return time.Time{}, nil
	}
	age := t.stateAfter.Stamp - t.stateAfter.LastActivity
	at = t.stateReceived.Add(-age + time.Duration(float64(age)*maxClockDrift))
	return at, c.Table().OwnedSince(nil, target, t.stateBefore.Epoch)
}

// openDispatcher starts the dispatcher of a target that was taken over.
func (m *grantManager) openDispatcher(ctx context.Context, t fulmarslot.Target, accepted takeover) {
	d := m.c.NewDispatcher(t)
	before, g, owned, handover := accepted.stateBefore, accepted.grant, accepted.owned, accepted.handover
	recordSpan := time.Duration(0) // how long before now the deduplication records begin
	if at, slots := m.c.completeSince(accepted, m.id); len(slots) > 0 {
		d.SetComplete(at, slots)
		recordSpan = time.Since(at)
	}
	if handover != nil {
		// Deduplication records of other slots would be outdated if the target owned them again.
		for _, slot := range owned {
			d.Import(snapshotOf(handover.Snapshot, slot))
		}
	}
	d.Open(g.Term, max(before.Capacity-before.Running, 1), owned)
	m.c.mu.Lock()
	m.dispatcher, m.holdsTarget = d, true
	m.admittedSlots, m.outrankedSince, m.holderExpiredSince = owned, time.Time{}, time.Time{}
	clear(m.stoppingSlots)
	clear(m.transferredMoves)
	m.releases = nil
	m.c.notifyChange()
	m.c.mu.Unlock()
	m.c.Log.Info("target taken over", "target", m.id, "term", g.Term, "epoch", g.Epoch, "slots", len(owned), "handover", handover != nil, "known", recordSpan)
	m.updateStoppingSlots()
	m.applyAcceptedGrant(ctx, t, g, owned)
}

// stepDown closes the dispatcher, which ends waiting requests as not run for the given
// reason, and resets the state of the manager.
func (m *grantManager) stepDown(reason fulmaroutcome.Reason) {
	m.c.mu.Lock()
	d := m.dispatcher
	m.dispatcher, m.holdsTarget = nil, false
	m.targetLost, m.suspects, m.releases = false, nil, nil
	m.c.notifyChange()
	m.c.mu.Unlock()
	clear(m.stoppingSlots)
	clear(m.transferredMoves)
	m.admittedSlots, m.failedCalls, m.handoverUnresolved = nil, 0, false
	if d != nil {
		d.Close(reason)
	}
}
