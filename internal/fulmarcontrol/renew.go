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

// grantNow decides on a grant under the lock: it needs the quorum lease, and
// its latest end is on record before it is sent.
func (k *keeper) grantNow(term uint64, stamp time.Duration, stampAt time.Time) (fulmargrant.Grant, []int, bool) {
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.held(now) {
		return fulmargrant.Grant{}, nil, false
	}
	owned := c.table.OwnedBy(nil, k.id)
	slots := append(slices.Clone(owned), k.draining()...)
	slices.Sort(slots)
	slots = slices.Compact(slots)
	c.lapses[k.id].record(now, slots, stampAt.Add(lifetime(c.Timing.GrantTTL)))
	return fulmargrant.Grant{
		Holder: c.holderName(), Term: term, Epoch: c.table.Epoch(), Slots: slots, Stamp: stamp, TTL: c.Timing.GrantTTL,
	}, owned, true
}

// draining returns the stopped slots that the grant must keep until their work
// in flight has ended. A forced move does not wait for work: a grant that still
// had its slot could outlast the move, and the slot would have two owners. mu
// must be held.
func (k *keeper) draining() []int {
	t, ok := k.c.table.Target(k.id)
	if !ok {
		return nil
	}
	return slices.DeleteFunc(k.busy(), func(slot int) bool {
		return k.c.table.Assignment(t.Service, slot).Forced
	})
}

func lifetime(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*clockDrift)
}

// renew extends the grant and brings its slots up to date.
func (k *keeper) renew(ctx context.Context, t fulmarslot.Target) {
	k.stopMoving()
	if k.lost {
		k.transferLost(ctx, t)
		k.probeLost(ctx, t)
		return
	}
	if k.contested {
		k.reclaim(ctx, t)
		return
	}
	g, owned, ok := k.grantNow(k.term, k.stamp, k.stampAt)
	if !ok {
		k.c.Counter.Count("renewal_without_lease")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	running := k.dispatcher.Running()
	state, err := k.c.Targets.Grant(callCtx, t.Address, g)
	received := time.Now()
	var refused *fulmargrant.RefusedError
	switch {
	case errors.As(err, &refused):
		k.refused(state, refused, received)
	case err != nil && ctx.Err() == nil:
		k.failed(err)
	case err == nil:
		k.failures = 0
		k.fitSlots(state, running)
		k.stamp, k.stampAt = state.Stamp, received
		k.inForce(ctx, t, g, owned)
	}
}

// fitSlots leaves room at the target for work that a former dispatcher started
// there. running is the number of own orders when the target was asked.
func (k *keeper) fitSlots(state fulmargrant.State, running int) {
	foreign := max(state.Running-max(running, k.dispatcher.Running()), 0)
	k.dispatcher.SetSlots(max(state.Capacity-foreign, 1))
}

// refused handles a target that does not accept the renewal: another daemon
// took over, or the target was restarted and has lost its clock and its grant.
func (k *keeper) refused(state fulmargrant.State, refused *fulmargrant.RefusedError, received time.Time) {
	if state.Term < k.term {
		k.c.Log.Warn("target restarted", "target", k.id)
		k.restarted()
		return
	}
	if state.Term > k.term || (state.Term == k.term && state.Holder != k.c.holderName()) {
		k.c.Log.Info("target taken over", "target", k.id, "term", state.Term, "holder", state.Holder)
		k.stepDown(fulmaroutcome.NotHolder)
		return
	}
	k.c.Counter.Count("grant_refused")
	k.c.Log.Warn("grant refused", "target", k.id, "reason", refused.Reason, "term", state.Term, "epoch", state.Epoch)
	// A refusal brings a newer stamp, with which the next renewal is accepted.
	k.stamp, k.stampAt = state.Stamp, received
}

// restarted ends the grant of a target that came back as a new process. Work
// that was in flight is suspect, as it is when a target is lost.
func (k *keeper) restarted() {
	k.c.Counter.Count("target_restarted")
	k.dispatcher.Suspend()
	k.markSuspects(k.dispatcher.Lost())
	k.stepDown(fulmaroutcome.NotHolder)
}

func (k *keeper) failed(err error) {
	k.failures++
	k.c.Counter.Count("renewal_failed")
	if k.failures < failuresLost {
		return
	}
	k.c.Log.Warn("target lost", "target", k.id, "error", err)
	k.c.Counter.Count("target_lost")
	k.dispatcher.Suspend()
	k.setLost(true, k.markSuspects(k.dispatcher.Lost()))
}

// markSuspects puts work that was in flight at a loss under suspicion here at
// once; other daemons learn of it with the table.
func (k *keeper) markSuspects(fingerprints []uint64) []uint64 {
	if len(fingerprints) > 0 {
		k.c.Guard.RecordLoss(time.Now(), fingerprints)
	}
	return fingerprints
}

func (k *keeper) setLost(lost bool, suspects []uint64) {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	if k.lost == lost && !lost {
		return
	}
	k.lost, k.suspects = lost, suspects
	k.c.notify()
	k.c.kickPlanner()
}

// probeLost asks whether a lost target is back, and gives up its grant if so:
// taking over by a new term starts from the state of the target.
func (k *keeper) probeLost(ctx context.Context, t fulmarslot.Target) {
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	if _, err := k.c.Targets.State(callCtx, t.Address); err != nil {
		return
	}
	k.c.Log.Info("target is back", "target", k.id)
	k.stepDown(fulmaroutcome.NotHolder)
}

// inForce follows a grant that the target accepted: new slots are admitted,
// and slots that the grant no longer has are released.
func (k *keeper) inForce(ctx context.Context, t fulmarslot.Target, g fulmargrant.Grant, owned []int) {
	k.importMemory(t, owned)
	k.dispatcher.Grant(g.Epoch, owned)
	k.admitted = owned
	var idle []int
	for slot := range k.stopping {
		if !slices.Contains(g.Slots, slot) {
			idle = append(idle, slot)
		}
	}
	if len(idle) > 0 {
		slices.Sort(idle)
		k.release(ctx, t, g.Epoch, idle)
	}
}
