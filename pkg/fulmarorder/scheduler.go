package fulmarorder

import (
	"math"
	"slices"
	"time"

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
	repeated  bool      // a release was repeated
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
	connections map[fulmarrange.Incarnation]int64                 // on which grants were answered last, while they are known to be open
	grantTTL    time.Duration                                     // duration of the grants that are sent now
	renew       time.Duration                                     // time between renewals of a grant
	renewals    int                                               // number of answered grants, which spreads the next ones
	failures    map[fulmarrange.Incarnation]backoff               // of those that have not answered the last order
	probes      int                                               // number of probes so far
	releases    map[fulmarrange.Incarnation]int                   // number of releases in flight
	owned       map[fulmarrange.Incarnation][]fulmarrange.Segment // by owner: the segments of table, in their order
	leaving     map[string][]fulmarrange.Segment                  // by target: those of which it is a prior owner
	heldUntil   time.Time                                         // no order is sent before then
}

// New returns a scheduler for a table on which a previous sender may have acted up to now.
func New(now time.Time, table fulmarrange.Table, t Timing) *Scheduler {
	b := &Scheduler{
		timing: t, ledger: fulmarledger.New(), orders: make(map[orderKey]*orderStatus),
		answered: make(map[fulmarrange.Incarnation]bool), connections: make(map[fulmarrange.Incarnation]int64), grantTTL: t.GrantTTL, renew: t.RenewInterval,
		failures: make(map[fulmarrange.Incarnation]backoff), releases: make(map[fulmarrange.Incarnation]int),
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

// Hold makes Next return no order before until. The table does not name all targets that may hold keys until then: the store that
// holds it has lost later ones.
func (b *Scheduler) Hold(until time.Time) { b.heldUntil = until }

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
	byClaim := make(map[orderKey][]orderKey) // without keys: the former orders of each kind and claim
	for o := range old {
		all := orderKey{kind: o.kind, claim: o.claim}
		byClaim[all] = append(byClaim[all], o)
	}
	carry := func(kind Kind, claim fulmarrange.Claim, from, to int) {
		k := orderKey{kind, claim, from, to}
		if s := old[k]; s != nil {
			b.orders[k] = s
			return
		}
		// A part of a range keeps the status of the whole range.
		for _, o := range byClaim[orderKey{kind: kind, claim: claim}] {
			if o.from <= from && o.to >= to {
				c := *old[o]
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
func (b *Scheduler) Expire(now time.Time) {
	b.ledger.Expire(now)
	b.forgetFailures(now)
}
