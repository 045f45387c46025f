package fulmarorder

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarledger"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Timing configures the duration of grants and the intervals between orders.
type Timing struct {
	GrantTTL      time.Duration // normal duration of a grant
	RenewInterval time.Duration // normal time between renewals of a grant
	RetryInterval time.Duration // delay before a failed order is sent again
	MaxGrantTTL   time.Duration // longest duration of any grant that a previous sender may have sent
}

// MaxHoldTime returns the longest time for which a target may hold keys under any grant, including the margin
// for a slow clock on the target.
func (t Timing) MaxHoldTime() time.Duration { return t.MaxGrantTTL * 103 / 100 }

// orderKey identifies an order by its kind, claim and key range.
type orderKey struct {
	kind     Kind
	claim    fulmarrange.Claim
	from, to int
}

// orderStatus is the sending state of one order.
type orderStatus struct {
	notBefore time.Time // earliest time of the next attempt
	done      bool      // the target confirmed the grant or release
	repeated  bool      // a release was repeated on the connection of the grants
	handover  string    // data returned by a release for the next owner
	inFlight  bool      // sent and not yet completed
}

// Scheduler decides which order each target of one service is sent next.
type Scheduler struct {
	timing Timing
	table  fulmarrange.Table
	// pendingTable is the table that is being written to the store; the write may already have taken effect.
	pendingTable fulmarrange.Table
	ledger       *fulmarledger.Ledger
	orders       map[orderKey]*orderStatus
	// answered is true for incarnations that answered a grant on the current connection of this sender. It is
	// false for those that may have been granted keys over another connection: a new incarnation may have
	// replaced them since.
	answered    map[fulmarrange.Incarnation]bool
	connections map[fulmarrange.Incarnation]int64 // on which grants were answered last, while they are known to be open
	grantTTL    time.Duration                     // duration of the grants that are sent now
	renew       time.Duration                     // time between renewals of a grant
	renewals    int                               // number of answered grants, which spreads the next ones
	failures    map[string]failureStreak
	owned       map[fulmarrange.Incarnation][]fulmarrange.Segment // by owner: the segments of table, in their order
	leaving     map[string][]fulmarrange.Segment                  // by target: those of which it is a prior owner
}

// failureStreak counts consecutive failures of orders to one target.
type failureStreak struct {
	since  time.Time
	count  int
	unsent bool // the last order could not be sent
}

// New returns a scheduler for a table on which a previous sender may have acted up to now.
func New(now time.Time, table fulmarrange.Table, t Timing) *Scheduler {
	b := &Scheduler{
		timing: t, ledger: fulmarledger.New(), orders: make(map[orderKey]*orderStatus),
		answered: make(map[fulmarrange.Incarnation]bool), connections: make(map[fulmarrange.Incarnation]int64), grantTTL: t.GrantTTL, renew: t.RenewInterval,
		failures: make(map[string]failureStreak),
	}
	b.setTable(table)
	// The previous sender may have extended grants to current owners after it wrote the table, but not grants to
	// prior owners.
	longest := now.Add(t.MaxHoldTime())
	prior := b.defaultGrantEnd(now)
	if table.ExtendedGrants() {
		prior = longest
	}
	for _, s := range table.Segments() {
		if s.HasOwner() {
			b.answered[s.Owner.Incarnation] = false
			b.ledger.Inherit(s.Owner.Incarnation.ID, s.From, s.To, s.Owner.Fence, longest, longest)
		}
		for _, p := range s.PriorClaims {
			b.ledger.Inherit(p.Incarnation.ID, s.From, s.To, p.Fence, longest, prior)
		}
	}
	return b
}

// setTable makes a table the current one. The segments of each target are kept apart, so that the choice of its next order does
// not read the whole table.
func (b *Scheduler) setTable(table fulmarrange.Table) {
	b.table, b.pendingTable = table, table
	b.owned, b.leaving = make(map[fulmarrange.Incarnation][]fulmarrange.Segment), make(map[string][]fulmarrange.Segment)
	for _, s := range table.Segments() {
		b.owned[s.Owner.Incarnation] = append(b.owned[s.Owner.Incarnation], s)
		for i, p := range s.PriorClaims {
			if !slices.ContainsFunc(s.PriorClaims[:i], func(q fulmarrange.Claim) bool { return q.Incarnation.ID == p.Incarnation.ID }) {
				b.leaving[p.Incarnation.ID] = append(b.leaving[p.Incarnation.ID], s)
			}
		}
	}
}

// LimitInherited records that the previous sender's grants have expired by latest.
func (b *Scheduler) LimitInherited(latest time.Time) { b.ledger.LimitInherited(latest) }

// LatestExpiry returns the time after which no target holds keys under the grants sent so far, assuming that orders
// in flight complete at now.
func (b *Scheduler) LatestExpiry(now time.Time) time.Time { return b.ledger.LatestExpiry(now) }

// defaultGrantEnd returns the latest time at which a grant of the normal duration that was sent up to now may
// expire.
func (b *Scheduler) defaultGrantEnd(now time.Time) time.Time {
	return now.Add(b.timing.GrantTTL * 105 / 100)
}

// ExtendedGrants reports whether a target may still apply a grant of more than the normal duration.
// A table that is written now must record this.
func (b *Scheduler) ExtendedGrants(now time.Time) bool {
	return b.ledger.HasPendingAfter(now, b.defaultGrantEnd(now))
}

// HasUnansweredGrant reports whether the target may still apply a grant that it did not answer, or not for certain, on another
// connection than the current one. Keys that it releases before it has answered a later grant cannot be granted to another target
// until that grant expires.
func (b *Scheduler) HasUnansweredGrant(now time.Time, target fulmarrange.Incarnation) bool {
	return b.ledger.HasPending(now, target.ID, b.connections[target])
}

// Table returns the committed table.
func (b *Scheduler) Table() fulmarrange.Table { return b.table }

// SetPendingTable sets the table that is about to be written. Keys that it assigns to other owners get no extended
// grants.
func (b *Scheduler) SetPendingTable(table fulmarrange.Table) { b.pendingTable = table }

// grantTTLFor returns the duration of a grant of the segment.
func (b *Scheduler) grantTTLFor(s fulmarrange.Segment) time.Duration {
	if b.grantTTL <= b.timing.GrantTTL {
		return b.grantTTL
	}
	for _, w := range b.pendingTable.Overlapping(s.From, s.To) {
		if w.Owner.Incarnation != s.Owner.Incarnation {
			return b.timing.GrantTTL
		}
	}
	return b.grantTTL
}

// SetGrantTTL changes the duration of the grants that are sent from now on and makes all grants due for renewal.
func (b *Scheduler) SetGrantTTL(now time.Time, ttl time.Duration) {
	b.grantTTL = ttl
	for _, s := range b.orders {
		if s.notBefore.After(now) {
			s.notBefore = now
		}
	}
}

// SetPace sets the time between renewals of a grant and the duration of the grants that are sent from now on. A duration of more
// than the normal one counts as extended; see ExtendedGrants.
func (b *Scheduler) SetPace(renew, ttl time.Duration) { b.renew, b.grantTTL = renew, ttl }

const (
	// goldenRatio spreads any number of successive multiples evenly over the unit interval.
	goldenRatio = 0.6180339887498949
	// Renewals that are slower than normal are spread over the last part of their interval, the first ones over more of it: a new
	// leader grants all keys at once, and would send all renewals at once as well.
	renewalSpread      = 0.125
	firstRenewalSpread = 0.75
)

// untilRenewal returns the time until the next renewal of a grant that has been answered now.
func (b *Scheduler) untilRenewal(first bool) time.Duration {
	if b.renew <= b.timing.RenewInterval {
		return b.renew
	}
	spread := renewalSpread
	if first {
		spread = firstRenewalSpread
	}
	b.renewals++
	_, part := math.Modf(float64(b.renewals) * goldenRatio)
	return time.Duration(float64(b.renew) * (1 - spread*part))
}

// Commit replaces the current table with one that was written to the store.
func (b *Scheduler) Commit(table fulmarrange.Table) {
	old, formerFence := b.orders, b.table.MaxFence()
	b.setTable(table)
	b.orders = make(map[orderKey]*orderStatus)
	carry := func(kind Kind, claim fulmarrange.Claim, from, to int) {
		k := orderKey{kind, claim, from, to}
		if s := old[k]; s != nil {
			b.orders[k] = s
			return
		}
		// A part of a range keeps the status of the whole range.
		for o, s := range old {
			if o.kind == kind && o.claim == claim && o.from <= from && o.to >= to {
				c := *s
				c.inFlight = false
				b.orders[k] = &c
				return
			}
		}
	}
	reused := make(map[fulmarrange.Incarnation]bool) // incarnations with a fence of an earlier table
	for _, s := range table.Segments() {
		if s.HasOwner() {
			carry(Grant, s.Owner, s.From, s.To)
			if s.Owner.Fence <= formerFence {
				reused[s.Owner.Incarnation] = true
			}
		}
		for _, p := range s.PriorClaims {
			carry(Release, p, s.From, s.To)
		}
	}
	// An incarnation whose connection was lost can be granted keys again once all its keys have new fences.
	for incarnation, answered := range b.answered {
		if !answered && !reused[incarnation] {
			delete(b.answered, incarnation)
		}
	}
}

func (b *Scheduler) status(k orderKey) *orderStatus {
	s := b.orders[k]
	if s == nil {
		s = &orderStatus{}
		b.orders[k] = s
	}
	return s
}

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
			if repeat == nil && b.mustRepeat(now, target, p, s, st) {
				repeat = &Order{
					Kind: Release, Incarnation: target, From: s.From, To: s.To, Fence: p.Fence, RequireKnownConnection: true, AfterGrants: true,
				}
			}
			if st.done || st.inFlight {
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

// mustRepeat reports whether an answered release must be repeated on the connection of the target's grants: the target may apply
// one of them after the release that it has answered on another connection.
func (b *Scheduler) mustRepeat(now time.Time, target fulmarrange.Incarnation, prior fulmarrange.Claim, s fulmarrange.Segment, st *orderStatus) bool {
	return st.done && !st.inFlight && !st.repeated && prior.Incarnation == target && b.ledger.SettledBy(now, target.ID, b.connections[target], s.From, s.To)
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

// BeginSend records that the order is about to be sent. The result identifies a grant in the ledger and is passed to
// EndSend; it is zero for a release.
func (b *Scheduler) BeginSend(o Order) fulmarledger.GrantID {
	b.status(b.keyOf(o)).inFlight = true
	if o.Kind == Grant {
		return b.ledger.Begin(o.Incarnation.ID, o.From, o.To, o.Fence, o.TTL)
	}
	return 0
}

// EndSend records at now the result of an order: a reply, or one of the errors of this package. It reports whether
// routing must be updated.
func (b *Scheduler) EndSend(now time.Time, o Order, entry fulmarledger.GrantID, reply Reply, err error) bool {
	b.recordGrants(now, o, entry, reply, err)
	ended := errors.Is(err, ErrTargetEnded)
	if ended {
		b.ledger.TargetEnded(o.Incarnation.ID)
	}
	if err == nil || errors.Is(err, ErrRefused) {
		delete(b.failures, o.Incarnation.ID)
	} else {
		s := b.failures[o.Incarnation.ID]
		if s.count == 0 {
			s.since = now
		}
		s.count++
		s.unsent = !errors.Is(err, ErrUnanswered)
		b.failures[o.Incarnation.ID] = s
	}
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
	st.done, st.handover, st.notBefore = true, reply.Handover, now
	if o.Kind == Grant {
		st.handover = ""
		st.notBefore = now.Add(b.untilRenewal(changed))
		b.answered[o.Incarnation] = true
	}
	return changed
}

// recordGrants records at now what the result of an order says of the grants of its target.
func (b *Scheduler) recordGrants(now time.Time, o Order, entry fulmarledger.GrantID, reply Reply, err error) {
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
			b.ledger.AllHandled(id, reply.Connection)
		}
		b.ledger.Released(id, o.From, o.To)
	}
	if o.Kind == Release && !o.AfterGrants {
		return
	}
	if err == nil && reply.Closing {
		// No earlier answer announced the close, so this is no copy: the target has answered all grants that it will handle.
		b.ledger.AllHandled(id, reply.Connection)
	}
	if err != nil || reply.Closing {
		delete(b.connections, o.Incarnation)
	}
}

// FailureStreak counts consecutive failures of orders to one target.
type FailureStreak struct {
	Elapsed    time.Duration // time since the first failure
	Count      int
	LastUnsent bool // the last order could not be sent: the target is unreachable
}

// FailureStreak returns the failures of orders to the target since the last one that it answered.
func (b *Scheduler) FailureStreak(now time.Time, target fulmarrange.Incarnation) FailureStreak {
	s, ok := b.failures[target.ID]
	if !ok {
		return FailureStreak{}
	}
	return FailureStreak{Elapsed: now.Sub(s.since), Count: s.count, LastUnsent: s.unsent}
}

// NeedsNewFence reports whether the target may have been granted keys over a connection that is no longer used.
// Another incarnation may have replaced it since, so its keys need new fences before they are granted again.
func (b *Scheduler) NeedsNewFence(target fulmarrange.Incarnation) bool {
	answered, ok := b.answered[target]
	return ok && !answered
}

// IsAnswering reports whether the target answers grants of this sender.
func (b *Scheduler) IsAnswering(target fulmarrange.Incarnation) bool { return b.answered[target] }

// OwnerHolds reports whether the owner of the segment was granted its keys and may hold them at now.
func (b *Scheduler) OwnerHolds(now time.Time, s fulmarrange.Segment) bool {
	st := b.orders[orderKey{Grant, s.Owner, s.From, s.To}]
	if st != nil && st.done {
		return true
	}
	return len(s.PriorClaims) == 0 && s.HasOwner() && b.ledger.AnsweredUntil(s.Owner.Incarnation.ID, s.From, s.To).After(now)
}

// SegmentsWithObsoletePrior returns the segments whose prior claims can be removed from the table because
// the keys have been granted to the current owner.
func (b *Scheduler) SegmentsWithObsoletePrior() []fulmarrange.Segment {
	var out []fulmarrange.Segment
	for _, s := range b.table.Segments() {
		if len(s.PriorClaims) == 0 {
			continue
		}
		if st := b.orders[orderKey{Grant, s.Owner, s.From, s.To}]; st != nil && st.done {
			out = append(out, s)
		}
	}
	return out
}

// Expire drops grants that have expired at now.
func (b *Scheduler) Expire(now time.Time) { b.ledger.Expire(now) }
