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

// acquire takes over the target unless a live daemon holds it. handed is the
// offer of the former dispatcher, nil if there is none.
func (k *keeper) acquire(ctx context.Context, t fulmarslot.Target, handed *fulmarwire.Handover) string {
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	state, err := k.c.Targets.State(callCtx, t.Address)
	received := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			k.acquireFailed(err)
		}
		return "target does not answer"
	}
	k.failures = 0
	k.setLost(false, nil)
	if handed == nil && k.heldByOther(state, received) {
		return "held by another daemon"
	}
	// A term that grows with the clock exceeds those of a target's former
	// process, which a restarted target does not know.
	term := max(state.Term+1, uint64(received.UnixMilli()))
	if handed != nil {
		if state.Term != handed.Term {
			return "held by another daemon since"
		}
		// The former dispatcher may try for the same term; see reclaim.
		term = handed.Term + 1
	}
	g, owned, ok := k.grantNow(term, state.Stamp, received)
	if !ok {
		return "no quorum lease"
	}
	state2, err := k.c.Targets.Grant(callCtx, t.Address, g)
	received = time.Now()
	if err != nil {
		k.c.Log.Info("takeover refused", "target", k.id, "error", err)
		return "takeover refused"
	}
	k.term, k.stamp, k.stampAt = term, state2.Stamp, received
	k.open(ctx, t, takeover{before: state, after: state2, at: received, grant: g, owned: owned, handed: handed})
	return ""
}

func (k *keeper) acquireFailed(err error) {
	k.failures++
	if k.failures < failuresLost {
		time.AfterFunc(secondLook, k.wake)
		return
	}
	if !k.lost {
		k.c.Log.Warn("target does not answer", "target", k.id, "error", err)
		k.setLost(true, nil)
	}
}

// heldByOther reports whether a live daemon holds the target. A live holder
// that let its grant lapse has some time to renew it before it is displaced.
func (k *keeper) heldByOther(state fulmargrant.State, now time.Time) bool {
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	id, incarnation, ok := parseHolder(state.Holder)
	if !ok || state.Holder == c.holderName() || id == c.Self.ID {
		return false
	}
	p, known := c.peers[id]
	if !known || p.Incarnation != incarnation || c.view.State(now, id) == fulmarmember.Down {
		// To a daemon that is itself cut off from the others, silence of the
		// holder says nothing. If it displaced holders that renew their grants,
		// both sides would take the target from each other without end.
		return state.Remaining > 0 && !c.hearsMajority(now)
	}
	c.learned[k.id] = id
	if state.Remaining > 0 {
		k.lapsedSince = time.Time{}
		return true
	}
	if k.lapsedSince.IsZero() {
		k.lapsedSince = now
	}
	return now.Sub(k.lapsedSince) < holderPatience
}

// hearsMajority reports whether a majority of the roster, self included, is not down; mu must be held.
func (c *Controller) hearsMajority(now time.Time) bool {
	roster, heard := c.table.Roster(), 0
	for _, m := range roster {
		if m.ID == c.Self.ID || c.view.State(now, m.ID) != fulmarmember.Down {
			heard++
		}
	}
	return 2*heard > len(roster)
}

// takeover is a grant that the target accepted from its new dispatcher.
type takeover struct {
	before, after fulmargrant.State // of the target
	at            time.Time         // when after was received
	grant         fulmargrant.Grant
	owned         []int
	handed        *fulmarwire.Handover // nil unless the former dispatcher offered the target
}

// complete returns a time after which no order of an earlier dispatcher started
// for the keys of the slots. The target tells when it last admitted one; that
// counts only for slots that were its own since the last grant, because an order
// for a key may also have run at a former owner.
func (c *Controller) complete(t takeover, target string) (at time.Time, slots []int) {
	if t.after.LastActivity == 0 || t.before.Term == 0 {
		return time.Time{}, nil
	}
	age := t.after.Stamp - t.after.LastActivity
	at = t.at.Add(-age + time.Duration(float64(age)*clockDrift))
	return at, c.Table().OwnedSince(nil, target, t.before.Epoch)
}

// open starts the dispatcher of a target that was taken over.
func (k *keeper) open(ctx context.Context, t fulmarslot.Target, take takeover) {
	d := k.c.NewDispatcher(t)
	before, g, owned, handed := take.before, take.grant, take.owned, take.handed
	known := time.Duration(0) // how long before now the memory may begin
	if at, slots := k.c.complete(take, k.id); len(slots) > 0 {
		d.SetComplete(at, slots)
		known = time.Since(at)
	}
	if handed != nil {
		// Memory of slots that are not owned now would be stale when they return.
		for _, slot := range owned {
			d.Import(snapshotOf(handed.Snapshot, slot))
		}
	}
	d.Open(g.Term, max(before.Capacity-before.Running, 1), owned)
	k.c.mu.Lock()
	k.dispatcher, k.holding = d, true
	k.admitted, k.betterSince, k.lapsedSince = owned, time.Time{}, time.Time{}
	clear(k.stopping)
	clear(k.transferred)
	k.releases = nil
	k.c.notify()
	k.c.mu.Unlock()
	k.c.Log.Info("target taken over", "target", k.id, "term", g.Term, "epoch", g.Epoch, "slots", len(owned), "handover", handed != nil, "known", known)
	k.stopMoving()
	k.inForce(ctx, t, g, owned)
}

// stepDown ends dispatching here; waiting requests end as not run.
func (k *keeper) stepDown(reason fulmaroutcome.Reason) {
	k.c.mu.Lock()
	d := k.dispatcher
	k.dispatcher, k.holding = nil, false
	k.lost, k.suspects, k.releases = false, nil, nil
	k.c.notify()
	k.c.mu.Unlock()
	clear(k.stopping)
	clear(k.transferred)
	k.admitted, k.failures, k.contested = nil, 0, false
	if d != nil {
		d.Close(reason)
	}
}
