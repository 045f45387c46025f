package fulmarcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// stopMoving stops admission for slots that started to move and resumes it
// for those whose move was cancelled.
func (k *keeper) stopMoving() {
	k.c.mu.Lock()
	moving := k.c.table.MovingFrom(nil, k.id)
	owned := k.c.table.OwnedBy(nil, k.id)
	k.c.mu.Unlock()
	for _, slot := range moving {
		if _, ok := k.stopping[slot]; !ok {
			k.stopping[slot] = k.dispatcher.Stop([]int{slot})
		}
	}
	for slot := range k.stopping {
		if slices.Contains(owned, slot) {
			k.dispatcher.Resume([]int{slot})
			delete(k.stopping, slot)
		} else if !slices.Contains(moving, slot) {
			delete(k.stopping, slot)
		}
	}
}

// importMemory gives the dispatcher the memory that came with slots it now owns.
func (k *keeper) importMemory(t fulmarslot.Target, owned []int) {
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.imports[k.id]
	for slot, in := range pending {
		if !slices.Contains(owned, slot) || c.table.Assignment(t.Service, slot).MoveEpoch != in.since {
			continue
		}
		k.dispatcher.Import(in.snapshot)
		delete(pending, slot)
	}
}

// release hands over the memory of slots that are no longer in force at the
// target and then reports them to the planner.
func (k *keeper) release(ctx context.Context, t fulmarslot.Target, epoch uint64, slots []int) {
	k.c.mu.Lock()
	if k.released(slots) {
		k.refreshReleases(epoch, slots)
		k.c.mu.Unlock()
		return
	}
	byNext := make(map[string][]int)
	for _, slot := range slots {
		byNext[k.c.table.Assignment(t.Service, slot).Next] = append(byNext[k.c.table.Assignment(t.Service, slot).Next], slot)
	}
	k.c.mu.Unlock()
	accepted := true
	for next, moved := range byNext {
		if next != "" && !k.transfer(ctx, t.Service, next, moved) {
			accepted = false
		}
	}
	if k.transfers++; !accepted && k.transfers < maxTransfers {
		return
	}
	if !accepted {
		k.c.Counter.Count("memory_not_transferred")
		k.c.Log.Warn("request memory not transferred", "target", k.id, "slots", len(slots))
	}
	k.transfers = 0
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	k.releases = append(k.releases, fulmarwire.Release{Target: k.id, Service: t.Service, Slots: slots, Epoch: epoch})
	k.c.notify()
	k.c.kickPlanner()
}

// transferLost hands over the memory of slots that were forced away from a
// lost target, once work in flight has ended as unknown. The planner decides at
// the end of the move whether this daemon alone dispatched there, and so whether
// the memory counts.
func (k *keeper) transferLost(ctx context.Context, t fulmarslot.Target) {
	byNext := make(map[string][]int)
	k.c.mu.Lock()
	for slot, idle := range k.stopping {
		a := k.c.table.Assignment(t.Service, slot)
		if a.Owner != k.id || !a.Forced || k.transferred[slot] == a.MoveEpoch {
			continue
		}
		select {
		case <-idle:
			byNext[a.Next] = append(byNext[a.Next], slot)
			k.transferred[slot] = a.MoveEpoch
		default:
		}
	}
	k.c.mu.Unlock()
	for next, slots := range byNext {
		slices.Sort(slots)
		if !k.transfer(ctx, t.Service, next, slots) {
			k.c.Counter.Count("memory_not_transferred")
			k.c.Log.Warn("request memory not transferred", "target", k.id, "slots", len(slots))
		}
	}
}

// released reports whether all slots are in a release already; mu must be held.
func (k *keeper) released(slots []int) bool {
	for _, slot := range slots {
		if !slices.ContainsFunc(k.releases, func(r fulmarwire.Release) bool { return slices.Contains(r.Slots, slot) }) {
			return false
		}
	}
	return true
}

// refreshReleases brings reports on the slots up to the epoch of a grant that
// still lacks them; mu must be held. A planner that took over, or that read the
// table back after a lost answer, counts a move from the epoch in which it first
// saw it, and would wait for a report from then on without end.
func (k *keeper) refreshReleases(epoch uint64, slots []int) {
	refreshed := false
	for i, r := range k.releases {
		if r.Epoch >= epoch {
			continue
		}
		var still []int // the others have ended their move
		for _, slot := range r.Slots {
			if slices.Contains(slots, slot) {
				still = append(still, slot)
			}
		}
		if len(still) > 0 {
			k.releases[i].Epoch, k.releases[i].Slots = epoch, still
			refreshed = true
		}
	}
	if refreshed {
		k.c.notify()
		k.c.kickPlanner()
	}
}

// pruneReleases drops reports on slots that no longer move; mu must be held.
func (k *keeper) pruneReleases() {
	if len(k.releases) == 0 {
		return
	}
	moving := k.c.table.MovingFrom(nil, k.id)
	k.releases = slices.DeleteFunc(k.releases, func(r fulmarwire.Release) bool {
		return !slices.ContainsFunc(r.Slots, func(slot int) bool { return slices.Contains(moving, slot) })
	})
}

// transfer sends request memory to the dispatcher of the next owner and reports
// whether it was accepted. Without it that dispatcher starts with an empty
// memory and a later horizon.
func (k *keeper) transfer(ctx context.Context, service, next string, slots []int) bool {
	c := k.c
	message := &fulmarwire.Transfer{Target: next, Since: make(map[int]uint64), Snapshot: k.dispatcher.Export(slots)}
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
		reply, err := p.bulk.Transfer(callCtx, message)
		return err == nil && reply.Accepted
	}
	return false
}
