package fulmarorder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarledger"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Timing holds the times of grants.
type Timing struct {
	GrantTTL      time.Duration // of a grant
	RenewInterval time.Duration // between renewals of a grant
	RetryInterval time.Duration // between attempts of an order that failed
	MaxGrantTTL   time.Duration // longest time of any grant that an earlier sender may have sent
}

// Longest returns the time for which a target may hold keys by any grant, as its clock may be slow.
func (t Timing) MaxHoldTime() time.Duration { return t.MaxGrantTTL * 103 / 100 }

// span identifies an order by its kind, its keys and the claim that it is about.
type span struct {
	kind     Kind
	claim    fulmarrange.Claim
	from, to int
}

// status is what is known of one order.
type status struct {
	next     time.Time // not before
	done     bool      // answered: granted or released
	handover string    // of a release
	sent     bool      // in flight
}

// Book decides the orders of one service.
type Scheduler struct {
	timing Timing
	table  fulmarrange.Table
	// writing is the table that is being written, which may be in force already.
	writing fulmarrange.Table
	ledger  *fulmarledger.Ledger
	spans   map[span]*status
	// known tells which lives answered on a kept connection of this sender. It is false for those that may
	// have been granted keys over another connection: a new life may have taken their place since.
	known  map[fulmarrange.Incarnation]bool
	hold   time.Duration // of grants sent now
	stalls map[string]stall
}

// stall describes orders to a life that fail one after another.
type stall struct {
	since  time.Time
	count  int
	unsent bool // the last one could not be sent
}

// New returns a book of a table that an earlier sender may have acted on up to now.
func New(now time.Time, table fulmarrange.Table, t Timing) *Scheduler {
	b := &Scheduler{
		timing: t, table: table, writing: table, ledger: fulmarledger.New(), spans: make(map[span]*status),
		known: make(map[fulmarrange.Incarnation]bool), hold: t.GrantTTL,
		stalls: make(map[string]stall),
	}
	// The earlier sender may have extended its grants after it wrote the table, but no longer those of prior owners.
	longest := now.Add(t.MaxHoldTime())
	prior := b.usual(now)
	if table.ExtendedGrants() {
		prior = longest
	}
	for _, s := range table.Segments() {
		if s.HasOwner() {
			b.known[s.Owner.Incarnation] = false
			b.ledger.Inherit(s.Owner.Incarnation.ID, s.From, s.To, s.Owner.Fence, longest, longest)
		}
		for _, p := range s.PriorClaims {
			b.ledger.Inherit(p.Incarnation.ID, s.From, s.To, p.Fence, longest, prior)
		}
	}
	return b
}

// Limit records that the earlier sender's grants have lapsed by the given time.
func (b *Scheduler) LimitInherited(latest time.Time) { b.ledger.LimitInherited(latest) }

// Latest returns the time after which no target holds keys by the grants sent so far, where orders that are under
// way end at now.
func (b *Scheduler) LatestExpiry(now time.Time) time.Time { return b.ledger.LatestExpiry(now) }

// usual returns the time up to which grants of the usual time that were sent until now may last.
func (b *Scheduler) usual(now time.Time) time.Time { return now.Add(b.timing.GrantTTL * 105 / 100) }

// Extended reports whether targets may take extended grants late, which a table that is written now has to tell.
func (b *Scheduler) ExtendedGrants(now time.Time) bool {
	return b.ledger.HasUnansweredAfter(now, b.usual(now))
}

// Pending reports whether the life may take keys late by a grant that it did not answer. Keys that it
// releases before it has answered a later grant stay without an owner for the time of that grant.
func (b *Scheduler) HasUnansweredGrant(now time.Time, life fulmarrange.Incarnation) bool {
	return b.ledger.HasUnanswered(now, life.ID)
}

// Table returns the committed table.
func (b *Scheduler) Table() fulmarrange.Table { return b.table }

// Writing tells which table is about to be written: keys that it gives to other owners get no extended grants.
func (b *Scheduler) SetPendingTable(table fulmarrange.Table) { b.writing = table }

// holdFor returns the time of a grant of the segment.
func (b *Scheduler) holdFor(s fulmarrange.Segment) time.Duration {
	if b.hold <= b.timing.GrantTTL {
		return b.hold
	}
	for _, w := range b.writing.Segments() {
		if w.From <= s.To && w.To >= s.From && w.Owner.Incarnation != s.Owner.Incarnation {
			return b.timing.GrantTTL
		}
	}
	return b.hold
}

// WithHold changes the time of the grants sent from now on and makes all of them due.
func (b *Scheduler) SetGrantTTL(now time.Time, hold time.Duration) {
	b.hold = hold
	for _, s := range b.spans {
		if s.next.After(now) {
			s.next = now
		}
	}
}

// Commit replaces the table by one that was written to the store.
func (b *Scheduler) Commit(table fulmarrange.Table) {
	old, former := b.spans, b.table.MaxFence()
	b.table, b.writing = table, table
	b.spans = make(map[span]*status)
	carry := func(kind Kind, claim fulmarrange.Claim, from, to int) {
		k := span{kind, claim, from, to}
		if s := old[k]; s != nil {
			b.spans[k] = s
			return
		}
		// A part of a range that was granted or released stays so.
		for o, s := range old {
			if o.kind == kind && o.claim == claim && o.from <= from && o.to >= to {
				c := *s
				c.sent = false
				b.spans[k] = &c
				return
			}
		}
	}
	stale := make(map[fulmarrange.Incarnation]bool) // lives with a fence that was in use before
	for _, s := range table.Segments() {
		if s.HasOwner() {
			carry(Grant, s.Owner, s.From, s.To)
			if s.Owner.Fence <= former {
				stale[s.Owner.Incarnation] = true
			}
		}
		for _, p := range s.PriorClaims {
			carry(Release, p, s.From, s.To)
		}
	}
	// A life whose connection was lost can be granted keys again once all of them have new fences.
	for life, known := range b.known {
		if !known && !stale[life] {
			delete(b.known, life)
		}
	}
}

func (b *Scheduler) status(k span) *status {
	s := b.spans[k]
	if s == nil {
		s = &status{}
		b.spans[k] = s
	}
	return s
}

// clear reports whether no earlier owner can hold keys of the segment, else when that is known by time alone.
func (b *Scheduler) clear(now time.Time, s fulmarrange.Segment) (bool, time.Time) {
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

// Next returns the order that is due for the life at now; ok is false if there is none before wait has passed.
func (b *Scheduler) Next(now time.Time, life fulmarrange.Incarnation) (o Order, wait time.Duration, ok bool) {
	wait = b.timing.RenewInterval
	soon := func(at time.Time) {
		if d := at.Sub(now); d < wait {
			wait = max(d, time.Millisecond)
		}
	}
	var best *status
	for _, s := range b.table.Segments() {
		for _, p := range s.PriorClaims {
			if p.Incarnation.ID != life.ID {
				continue
			}
			st := b.status(span{Release, p, s.From, s.To})
			if st.done || st.sent {
				continue
			}
			if st.next.After(now) {
				soon(st.next)
				continue
			}
			// Releases go first: another target waits for them.
			return Order{Kind: Release, Incarnation: p.Incarnation, From: s.From, To: s.To, Fence: p.Fence}, 0, true
		}
		if s.Owner.Incarnation != life || b.NeedsNewFence(life) {
			continue
		}
		st := b.status(span{Grant, s.Owner, s.From, s.To})
		if st.sent {
			continue
		}
		if st.next.After(now) {
			soon(st.next)
			continue
		}
		if !st.done {
			if free, at := b.clear(now, s); !free {
				if !at.IsZero() {
					soon(at)
				}
				continue
			}
		}
		if best == nil || st.next.Before(best.next) {
			best = st
			o = Order{
				Kind: Grant, Incarnation: life, From: s.From, To: s.To, Fence: s.Owner.Fence, TTL: b.holdFor(s),
				Handover: b.handover(s), RequireKnownConnection: b.known[life],
			}
		}
	}
	return o, wait, best != nil
}

// handover returns what the last holder of the segment gave for its new owner.
func (b *Scheduler) handover(s fulmarrange.Segment) string {
	for i := len(s.PriorClaims) - 1; i >= 0; i-- {
		if st := b.spans[span{Release, s.PriorClaims[i], s.From, s.To}]; st != nil && st.handover != "" {
			return st.handover
		}
	}
	return ""
}

func (b *Scheduler) key(o Order) span {
	return span{o.Kind, fulmarrange.Claim{Incarnation: o.Incarnation, Fence: o.Fence}, o.From, o.To}
}

// Sending records that the order is about to be sent.
func (b *Scheduler) BeginSend(o Order) fulmarledger.GrantID {
	b.status(b.key(o)).sent = true
	if o.Kind == Grant {
		return b.ledger.Begin(o.Incarnation.ID, o.From, o.To, o.Fence, o.TTL)
	}
	return 0
}

// Sent records at now how an order ended: without an error, or with one of the errors of this package.
// It reports whether routing changes.
func (b *Scheduler) EndSend(now time.Time, o Order, entry fulmarledger.GrantID, handover string, err error) bool {
	if o.Kind == Grant {
		switch {
		case err == nil:
			b.ledger.Answered(now, o.Incarnation.ID, entry)
		case errors.Is(err, ErrUnanswered):
			b.ledger.Unanswered(now, o.Incarnation.ID, entry)
		default:
			b.ledger.Refused(o.Incarnation.ID, entry)
		}
	} else if err == nil {
		b.ledger.Released(o.Incarnation.ID, o.From, o.To)
	}
	ended := errors.Is(err, ErrTargetEnded)
	if ended {
		b.ledger.TargetEnded(o.Incarnation.ID)
	}
	if err == nil || errors.Is(err, ErrRefused) {
		delete(b.stalls, o.Incarnation.ID)
	} else {
		s := b.stalls[o.Incarnation.ID]
		if s.count == 0 {
			s.since = now
		}
		s.count++
		s.unsent = !errors.Is(err, ErrUnanswered)
		b.stalls[o.Incarnation.ID] = s
	}
	st := b.spans[b.key(o)]
	if st == nil {
		return false // the table has changed meanwhile
	}
	st.sent = false
	if ended && o.Kind == Release {
		st.done = true
		return true
	}
	if err != nil {
		st.next = now.Add(b.timing.RetryInterval)
		if o.Kind == Grant && (errors.Is(err, ErrUnanswered) || errors.Is(err, ErrUnsent) && o.RequireKnownConnection) {
			b.known[o.Incarnation] = false
		}
		return false
	}
	changed := !st.done
	st.done, st.handover, st.next = true, handover, now
	if o.Kind == Grant {
		st.handover = ""
		st.next = now.Add(b.timing.RenewInterval)
		b.known[o.Incarnation] = true
	}
	return changed
}

// Stall describes orders to a life that fail one after another.
type FailureStreak struct {
	Elapsed    time.Duration // the first one failed
	Count      int
	LastUnsent bool // the last one could not be sent, so that the target cannot be reached at all
}

// Stalled returns the orders to the life that failed since one succeeded.
func (b *Scheduler) FailureStreak(now time.Time, life fulmarrange.Incarnation) FailureStreak {
	s, ok := b.stalls[life.ID]
	if !ok {
		return FailureStreak{}
	}
	return FailureStreak{Elapsed: now.Sub(s.since), Count: s.count, LastUnsent: s.unsent}
}

// Uncertain reports whether the life may have been granted keys over a connection that is no longer used, so
// that another life may have taken its place since. Its keys need new fences before they are granted again.
func (b *Scheduler) NeedsNewFence(life fulmarrange.Incarnation) bool {
	known, ok := b.known[life]
	return ok && !known
}

// Answers reports whether the life answers grants of this sender.
func (b *Scheduler) IsAnswering(life fulmarrange.Incarnation) bool { return b.known[life] }

// Holds reports whether the owner of the segment was granted its keys and can hold them at now.
func (b *Scheduler) OwnerHolds(now time.Time, s fulmarrange.Segment) bool {
	st := b.spans[span{Grant, s.Owner, s.From, s.To}]
	if st != nil && st.done {
		return true
	}
	return len(s.PriorClaims) == 0 && s.HasOwner() && b.ledger.AnsweredUntil(s.Owner.Incarnation.ID, s.From, s.To).After(now)
}

// Settled returns the prior claims that need no longer stand in the table: keys of the segment were granted
// to their owner.
func (b *Scheduler) SegmentsWithObsoletePrior() []fulmarrange.Segment {
	var out []fulmarrange.Segment
	for _, s := range b.table.Segments() {
		if len(s.PriorClaims) == 0 {
			continue
		}
		if st := b.spans[span{Grant, s.Owner, s.From, s.To}]; st != nil && st.done {
			out = append(out, s)
		}
	}
	return out
}

// Expire forgets grants that have lapsed at now.
func (b *Scheduler) Expire(now time.Time) { b.ledger.Expire(now) }
