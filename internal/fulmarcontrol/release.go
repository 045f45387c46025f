package fulmarcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// updateStoppingSlots stops admission for slots that started to move and resumes it for
// slots whose move was cancelled.
func (m *grantManager) updateStoppingSlots() {
	m.c.mu.Lock()
	moving := m.c.table.MovingFrom(nil, m.id)
	owned := m.c.table.OwnedBy(nil, m.id)
	m.c.mu.Unlock()
	for _, slot := range moving {
		if _, ok := m.stoppingSlots[slot]; !ok {
			m.stoppingSlots[slot] = m.dispatcher.Stop([]int{slot})
		}
	}
	for slot := range m.stoppingSlots {
		if slices.Contains(owned, slot) {
			m.dispatcher.Resume([]int{slot})
			delete(m.stoppingSlots, slot)
		} else if !slices.Contains(moving, slot) {
			delete(m.stoppingSlots, slot)
		}
	}
}

// importDedupRecords imports the pending deduplication records of slots that the
// target now owns into the dispatcher.
func (m *grantManager) importDedupRecords(t fulmarslot.Target, owned []int) {
	c := m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.pendingImports[m.id]
	for slot, records := range pending {
		if !slices.Contains(owned, slot) || c.table.Assignment(t.Service, slot).MoveEpoch != records.moveEpoch {
			continue
		}
		m.dispatcher.Import(records.snapshot)
		delete(pending, slot)
	}
}

// releaseSlots transfers the deduplication records of slots that the grant no longer
// has to the dispatchers of their next owners, and then reports the slots to the
// planner as released.
func (m *grantManager) releaseSlots(ctx context.Context, t fulmarslot.Target, epoch uint64, slots []int) {
	m.c.mu.Lock()
	if m.releaseReported(slots) {
		m.refreshReleases(epoch, slots)
		m.c.mu.Unlock()
		return
	}
	byNext := make(map[string][]int)
	for _, slot := range slots {
		byNext[m.c.table.Assignment(t.Service, slot).Next] = append(byNext[m.c.table.Assignment(t.Service, slot).Next], slot)
	}
	m.c.mu.Unlock()
	accepted := true
	for next, moved := range byNext {
		if next != "" && !m.transferDedupRecords(ctx, t.Service, next, moved) {
			accepted = false
		}
	}
	if m.transferAttempts++; !accepted && m.transferAttempts < maxTransferAttempts {
		return
	}
	if !accepted {
		m.c.Counter.Count("memory_not_transferred")
		m.c.Log.Warn("transfer of deduplication records given up", "target", m.id, "slots", len(slots))
	}
	m.transferAttempts = 0
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.releases = append(m.releases, fulmarwire.SlotRelease{Target: m.id, Service: t.Service, Slots: slots, Epoch: epoch})
	m.c.notifyChange()
	m.c.wakePlanner()
}

// transferForcedMoves transfers the deduplication records of slots in a forced move
// away from a lost target, once work in flight has ended with an unknown outcome. At
// the end of the move the planner decides whether only this daemon dispatched to the
// target, and thus whether the records are complete.
func (m *grantManager) transferForcedMoves(ctx context.Context, t fulmarslot.Target) {
	byNext := make(map[string][]int)
	m.c.mu.Lock()
	for slot, idle := range m.stoppingSlots {
		a := m.c.table.Assignment(t.Service, slot)
		if a.Owner != m.id || !a.Forced || m.transferredMoves[slot] == a.MoveEpoch {
			continue
		}
		select {
		case <-idle:
			byNext[a.Next] = append(byNext[a.Next], slot)
			m.transferredMoves[slot] = a.MoveEpoch
		default:
		}
	}
	m.c.mu.Unlock()
	for next, slots := range byNext {
		slices.Sort(slots)
		if !m.transferDedupRecords(ctx, t.Service, next, slots) {
			m.c.Counter.Count("memory_not_transferred")
			m.c.Log.Warn("transfer of deduplication records failed", "target", m.id, "slots", len(slots))
		}
	}
}

// releaseReported reports whether all slots are in reports to the planner already; mu
// must be held.
func (m *grantManager) releaseReported(slots []int) bool {
	for _, slot := range slots {
		if !slices.ContainsFunc(m.releases, func(r fulmarwire.SlotRelease) bool { return slices.Contains(r.Slots, slot) }) {
			return false
		}
	}
	return true
}

// refreshReleases raises the epoch of the reports on the slots to that of a grant that
// doesn't have them either; mu must be held. A planner that was just elected, or that
// read the table back after a lost answer, takes a move to start in the epoch in which
// it first saw the move. Without the update it would wait forever for a report from
// that epoch or later.
func (m *grantManager) refreshReleases(epoch uint64, slots []int) {
	refreshed := false
	for i, r := range m.releases {
		if r.Epoch >= epoch {
			continue
		}
		var moving []int // the move of the other slots has ended
		for _, slot := range r.Slots {
			if slices.Contains(slots, slot) {
				moving = append(moving, slot)
			}
		}
		if len(moving) > 0 {
			m.releases[i].Epoch, m.releases[i].Slots = epoch, moving
			refreshed = true
		}
	}
	if refreshed {
		m.c.notifyChange()
		m.c.wakePlanner()
	}
}

// pruneReleases drops reports on slots that no longer move; mu must be held.
func (m *grantManager) pruneReleases() {
	if len(m.releases) == 0 {
		return
	}
	moving := m.c.table.MovingFrom(nil, m.id)
	m.releases = slices.DeleteFunc(m.releases, func(r fulmarwire.SlotRelease) bool {
		return !slices.ContainsFunc(r.Slots, func(slot int) bool { return slices.Contains(moving, slot) })
	})
}

// transferDedupRecords sends deduplication records to the dispatcher of the next owner
// and reports whether they were accepted. Without the transfer, that dispatcher starts
// with empty records and a later horizon.
func (m *grantManager) transferDedupRecords(ctx context.Context, service, next string, slots []int) bool {
	c := m.c
	message := &fulmarwire.Transfer{Target: next, Since: make(map[int]uint64), Snapshot: m.dispatcher.Export(slots)}
	c.mu.Lock()
	for _, slot := range slots {
		message.Since[slot] = c.table.Assignment(service, slot).MoveEpoch
	}
	holder, ok := c.holderLocked(next, time.Now())
	p := c.peers[holder.ID]
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	switch {
	case ok && holder.ID == c.Self.ID:
		reply, _ := c.PeerHandler(ctx).Transfer(callCtx, message)
		return reply.Accepted
	case ok && p != nil:
		reply, err := p.bulkClient.Transfer(callCtx, message)
		return err == nil && reply.Accepted
	}
	return false
}
