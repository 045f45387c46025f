package fulmarorder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarledger"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// priorOwnersFree reports whether no prior owner can hold keys of the segment. If one can, it returns the time at
// which the last of their known grants expires.
func (b *Scheduler) priorOwnersFree(now time.Time, s fulmarrange.Segment) (bool, time.Time) {
	all, at := true, time.Time{}
	for _, p := range s.PriorClaims {
		if free, until := b.ledger.Free(now, p.Incarnation.ID, s.From, s.To); !free {
			all = false
			if until.After(at) {
				at = until
			}
		}
	}
	return all, at
}

// Next returns the order that is due for the target at now. If ok is false, none is due before wait has passed.
func (b *Scheduler) Next(now time.Time, target fulmarrange.Incarnation) (o Order, wait time.Duration, ok bool) {
	if left := b.heldUntil.Sub(now); left > 0 {
		return o, min(left, b.renew), false
	}
	if untilRetry := b.untilRetry(now, target); untilRetry > 0 {
		return o, untilRetry, false
	}
	return b.nextOrder(now, target)
}

// nextOrder is Next for a target to which orders may be sent.
func (b *Scheduler) nextOrder(now time.Time, target fulmarrange.Incarnation) (o Order, wait time.Duration, ok bool) {
	wait = b.renew
	wakeAt := func(at time.Time) {
		if d := at.Sub(now); d < wait {
			wait = max(d, time.Millisecond)
		}
	}
	// Releases are sent first because another target waits for the keys. A repeated one comes after them, as the worker waits for its answer.
	var repeat *Order
	for _, s := range b.leaving[target.ID] {
		for _, p := range s.PriorClaims {
			if p.Incarnation.ID != target.ID {
				continue
			}
			st := b.status(orderKey{Release, p, s.From, s.To})
			if repeat == nil {
				repeat = b.repeatedRelease(now, target, p, s, st)
			}
			if !b.mayRelease(target, st) {
				continue
			}
			if st.notBefore.After(now) {
				wakeAt(st.notBefore)
				continue
			}
			return Order{Kind: Release, Incarnation: p.Incarnation, From: s.From, To: s.To, Fence: p.Fence}, 0, true
		}
	}
	if repeat != nil {
		return *repeat, 0, true
	}
	if b.NeedsNewFence(target) {
		return o, wait, false
	}
	var best *orderStatus
	for _, s := range b.owned[target] {
		st := b.status(orderKey{Grant, s.Owner, s.From, s.To})
		if st.inFlight {
			continue
		}
		if st.notBefore.After(now) {
			wakeAt(st.notBefore)
			continue
		}
		if !st.done {
			if free, at := b.priorOwnersFree(now, s); !free {
				if !at.IsZero() {
					wakeAt(at)
				}
				continue
			}
		}
		if best == nil || st.notBefore.Before(best.notBefore) {
			best = st
			o = Order{
				Kind: Grant, Incarnation: target, From: s.From, To: s.To, Fence: s.Owner.Fence, TTL: b.grantTTLFor(s),
				Handover: b.handover(s), RequireKnownConnection: b.answered[target],
			}
		}
	}
	return o, wait, best != nil
}

// repeatedRelease returns the release that must follow an answered one, or nil if none is due. A target may apply grants after the
// release: those that are under way on their connection, behind which the release is repeated, or those that were settled while it
// was answered.
func (b *Scheduler) repeatedRelease(now time.Time, target fulmarrange.Incarnation, prior fulmarrange.Claim, s fulmarrange.Segment, st *orderStatus) *Order {
	if !st.done || st.inFlight || st.repeated || prior.Incarnation != target {
		return nil
	}
	if grant := b.orders[orderKey{Grant, s.Owner, s.From, s.To}]; s.Owner.Incarnation == target && grant != nil && (grant.done || grant.inFlight) {
		return nil // the target owns the keys again
	}
	behind := b.ledger.SettledBy(now, target.ID, b.connections[target], s.From, s.To)
	if !behind && !b.ledger.MayHoldSettled(now, target.ID, s.From, s.To) {
		return nil
	}
	return &Order{
		Kind: Release, Incarnation: target, From: s.From, To: s.To, Fence: prior.Fence, RequireKnownConnection: behind, AfterGrants: behind,
	}
}

// handover returns the data that the most recent holder of the segment passed on to its new owner.
func (b *Scheduler) handover(s fulmarrange.Segment) string {
	for i := len(s.PriorClaims) - 1; i >= 0; i-- {
		if st := b.orders[orderKey{Release, s.PriorClaims[i], s.From, s.To}]; st != nil && st.handover != "" {
			return st.handover
		}
	}
	return ""
}

func (b *Scheduler) keyOf(o Order) orderKey {
	return orderKey{o.Kind, fulmarrange.Claim{Incarnation: o.Incarnation, Fence: o.Fence}, o.From, o.To}
}

// BeginSend records that the order is about to be sent. The result identifies it in the ledger and is passed to EndSend.
func (b *Scheduler) BeginSend(o Order) fulmarledger.OrderID {
	if o.Probe {
		return b.ledger.BeginRelease()
	}
	b.status(b.keyOf(o)).inFlight = true
	if o.Kind == Grant {
		return b.ledger.Begin(o.Incarnation.ID, o.From, o.To, o.Fence, o.TTL)
	}
	b.releases[o.Incarnation]++
	return b.ledger.BeginRelease()
}

// EndSend records at now the result of an order: a reply, or one of the errors of this package. It reports whether
// routing must be updated.
func (b *Scheduler) EndSend(now time.Time, o Order, entry fulmarledger.OrderID, reply Reply, err error) bool {
	if o.Probe {
		b.recordResult(now, o, err)
		return false
	}
	b.recordGrants(now, o, entry, reply, err)
	if o.Kind == Release {
		if b.releases[o.Incarnation]--; b.releases[o.Incarnation] <= 0 {
			delete(b.releases, o.Incarnation)
		}
	}
	b.recordResult(now, o, err)
	ended := errors.Is(err, ErrTargetEnded)
	st := b.orders[b.keyOf(o)]
	if st == nil {
		return false // a newer table no longer contains the order
	}
	st.inFlight = false
	if ended && o.Kind == Release {
		st.done = true
		return true
	}
	if o.AfterGrants {
		st.repeated = true
		if err == nil {
			st.handover = reply.Handover // the target may have held the keys again since the first release
		}
		return false
	}
	if err != nil {
		st.notBefore = now.Add(b.timing.RetryInterval)
		if o.Kind == Grant && (errors.Is(err, ErrUnanswered) || errors.Is(err, ErrUnsent) && o.RequireKnownConnection) {
			b.answered[o.Incarnation] = false
		}
		return false
	}
	changed := !st.done
	st.repeated = st.repeated || o.Kind == Release && !changed
	st.done, st.handover, st.notBefore = true, reply.Handover, now
	if o.Kind == Grant {
		st.handover = ""
		st.notBefore = now.Add(b.untilRenewal(changed))
		b.answered[o.Incarnation] = true
	}
	return changed
}

// recordResult records at now what the result of an order says of the process of its target.
func (b *Scheduler) recordResult(now time.Time, o Order, err error) {
	if errors.Is(err, ErrTargetEnded) {
		b.ledger.TargetEnded(o.Incarnation.ID)
	}
	if err == nil || errors.Is(err, ErrRefused) {
		delete(b.failures, o.Incarnation)
	} else {
		b.recordFailure(now, o.Incarnation, err)
	}
}

// recordGrants records at now what the result of an order says of the grants of its target.
func (b *Scheduler) recordGrants(now time.Time, o Order, entry fulmarledger.OrderID, reply Reply, err error) {
	id := o.Incarnation.ID
	switch {
	case o.Kind == Grant && err == nil:
		b.connections[o.Incarnation] = reply.Connection
		b.ledger.Answered(now, id, entry, reply.Connection, reply.Certain)
	case o.Kind == Grant && errors.Is(err, ErrUnanswered):
		b.ledger.Unanswered(now, id, entry)
	case o.Kind == Grant:
		b.ledger.Refused(id, entry)
	case err == nil:
		if o.AfterGrants {
			b.ledger.AllHandled(id, reply.Connection, entry)
		}
		b.ledger.Released(id, o.From, o.To, entry)
	}
	if o.Kind == Release && !o.AfterGrants {
		return
	}
	if err == nil && reply.Closing {
		// No earlier answer announced the close, so this is no copy. It may be that of an earlier grant, though.
		b.ledger.ConnectionEnded(id, reply.Connection)
	}
	if err != nil || reply.Closing {
		delete(b.connections, o.Incarnation)
	}
}
