package fulmarorder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarledger"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Timing holds the times of grants.
type Timing struct {
	Hold    time.Duration // of a grant
	Renew   time.Duration // between renewals of a grant
	Retry   time.Duration // between attempts of an order that failed
	HoldMax time.Duration // longest time of any grant that an earlier sender may have sent
}

// Longest returns the time for which a target may hold keys by any grant, as its clock may be slow.
func (t Timing) Longest() time.Duration { return t.HoldMax * 103 / 100 }

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
type Book struct {
	timing Timing
	table  fulmarrange.Table
	// writing is the table that is being written, which may be in force already.
	writing fulmarrange.Table
	ledger  *fulmarledger.Ledger
	spans   map[span]*status
	// known tells which lives answered on a kept connection of this sender. It is false for those that may
	// have been granted keys over another connection: a new life may have taken their place since.
	known  map[fulmarrange.Life]bool
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
func New(now time.Time, table fulmarrange.Table, t Timing) *Book {
	b := &Book{
		timing: t, table: table, writing: table, ledger: fulmarledger.New(), spans: make(map[span]*status),
		known: make(map[fulmarrange.Life]bool), hold: t.Hold,
		stalls: make(map[string]stall),
	}
	// The earlier sender may have extended its grants after it wrote the table, but no longer those of prior owners.
	longest := now.Add(t.Longest())
	prior := b.usual(now)
	if table.Extended() {
		prior = longest
	}
	for _, s := range table.Segments() {
		if s.Owned() {
			b.known[s.Owner.Life] = false
			b.ledger.Inherit(s.Owner.Life.ID, s.From, s.To, s.Owner.Fence, longest, longest)
		}
		for _, p := range s.Prior {
			b.ledger.Inherit(p.Life.ID, s.From, s.To, p.Fence, longest, prior)
		}
	}
	return b
}

// Limit records that the earlier sender's grants have lapsed by the given time.
func (b *Book) Limit(latest time.Time) { b.ledger.Limit(latest) }

// Latest returns the time after which no target holds keys by the grants sent so far, where orders that are under
// way end at now.
func (b *Book) Latest(now time.Time) time.Time { return b.ledger.Latest(now) }

// usual returns the time up to which grants of the usual time that were sent until now may last.
func (b *Book) usual(now time.Time) time.Time { return now.Add(b.timing.Hold * 105 / 100) }

// Extended reports whether targets may take extended grants late, which a table that is written now has to tell.
func (b *Book) Extended(now time.Time) bool { return b.ledger.Lasting(now, b.usual(now)) }

// Pending reports whether the life may take keys late by a grant that it did not answer. Keys that it
// releases before it has answered a later grant stay without an owner for the time of that grant.
func (b *Book) Pending(now time.Time, life fulmarrange.Life) bool {
	return b.ledger.Pending(now, life.ID)
}

// Table returns the committed table.
func (b *Book) Table() fulmarrange.Table { return b.table }

// Writing tells which table is about to be written: keys that it gives to other owners get no extended grants.
func (b *Book) Writing(table fulmarrange.Table) { b.writing = table }

// holdFor returns the time of a grant of the segment.
func (b *Book) holdFor(s fulmarrange.Segment) time.Duration {
	if b.hold <= b.timing.Hold {
		return b.hold
	}
	for _, w := range b.writing.Segments() {
		if w.From <= s.To && w.To >= s.From && w.Owner.Life != s.Owner.Life {
			return b.timing.Hold
		}
	}
	return b.hold
}

// WithHold changes the time of the grants sent from now on and makes all of them due.
func (b *Book) WithHold(now time.Time, hold time.Duration) {
	b.hold = hold
	for _, s := range b.spans {
		if s.next.After(now) {
			s.next = now
		}
	}
}

// Commit replaces the table by one that was written to the store.
func (b *Book) Commit(table fulmarrange.Table) {
	old, former := b.spans, b.table.Fence()
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
	stale := make(map[fulmarrange.Life]bool) // lives with a fence that was in use before
	for _, s := range table.Segments() {
		if s.Owned() {
			carry(Grant, s.Owner, s.From, s.To)
			if s.Owner.Fence <= former {
				stale[s.Owner.Life] = true
			}
		}
		for _, p := range s.Prior {
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

func (b *Book) status(k span) *status {
	s := b.spans[k]
	if s == nil {
		s = &status{}
		b.spans[k] = s
	}
	return s
}

// clear reports whether no earlier owner can hold keys of the segment, else when that is known by time alone.
func (b *Book) clear(now time.Time, s fulmarrange.Segment) (bool, time.Time) {
	all, at := true, time.Time{}
	for _, p := range s.Prior {
		if free, until := b.ledger.Free(now, p.Life.ID, s.From, s.To); !free {
			all = false
			if until.After(at) {
				at = until
			}
		}
	}
	return all, at
}

// Next returns the order that is due for the life at now; ok is false if there is none before wait has passed.
func (b *Book) Next(now time.Time, life fulmarrange.Life) (o Order, wait time.Duration, ok bool) {
	wait = b.timing.Renew
	soon := func(at time.Time) {
		if d := at.Sub(now); d < wait {
			wait = max(d, time.Millisecond)
		}
	}
	var best *status
	for _, s := range b.table.Segments() {
		for _, p := range s.Prior {
			if p.Life.ID != life.ID {
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
			return Order{Kind: Release, Life: p.Life, From: s.From, To: s.To, Fence: p.Fence}, 0, true
		}
		if s.Owner.Life != life || b.Uncertain(life) {
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
				Kind: Grant, Life: life, From: s.From, To: s.To, Fence: s.Owner.Fence, Hold: b.holdFor(s),
				Handover: b.handover(s), Kept: b.known[life],
			}
		}
	}
	return o, wait, best != nil
}

// handover returns what the last holder of the segment gave for its new owner.
func (b *Book) handover(s fulmarrange.Segment) string {
	for i := len(s.Prior) - 1; i >= 0; i-- {
		if st := b.spans[span{Release, s.Prior[i], s.From, s.To}]; st != nil && st.handover != "" {
			return st.handover
		}
	}
	return ""
}

func (b *Book) key(o Order) span {
	return span{o.Kind, fulmarrange.Claim{Life: o.Life, Fence: o.Fence}, o.From, o.To}
}

// Sending records that the order is about to be sent.
func (b *Book) Sending(o Order) fulmarledger.Grant {
	b.status(b.key(o)).sent = true
	if o.Kind == Grant {
		return b.ledger.Enter(o.Life.ID, o.From, o.To, o.Fence, o.Hold)
	}
	return 0
}

// Sent records at now how an order ended: without an error, or with one of the errors of this package.
// It reports whether routing changes.
func (b *Book) Sent(now time.Time, o Order, entry fulmarledger.Grant, handover string, err error) bool {
	if o.Kind == Grant {
		switch {
		case err == nil:
			b.ledger.Answered(now, o.Life.ID, entry)
		case errors.Is(err, ErrUnanswered):
			b.ledger.Lost(now, o.Life.ID, entry)
		default:
			b.ledger.Refused(o.Life.ID, entry)
		}
	} else if err == nil {
		b.ledger.Released(o.Life.ID, o.From, o.To)
	}
	ended := errors.Is(err, ErrEnded)
	if ended {
		b.ledger.Ended(o.Life.ID)
	}
	if err == nil || errors.Is(err, ErrRefused) {
		delete(b.stalls, o.Life.ID)
	} else {
		s := b.stalls[o.Life.ID]
		if s.count == 0 {
			s.since = now
		}
		s.count++
		s.unsent = !errors.Is(err, ErrUnanswered)
		b.stalls[o.Life.ID] = s
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
		st.next = now.Add(b.timing.Retry)
		if o.Kind == Grant && (errors.Is(err, ErrUnanswered) || errors.Is(err, ErrUnsent) && o.Kept) {
			b.known[o.Life] = false
		}
		return false
	}
	changed := !st.done
	st.done, st.handover, st.next = true, handover, now
	if o.Kind == Grant {
		st.handover = ""
		st.next = now.Add(b.timing.Renew)
		b.known[o.Life] = true
	}
	return changed
}

// Stall describes orders to a life that fail one after another.
type Stall struct {
	Since  time.Duration // the first one failed
	Count  int
	Unsent bool // the last one could not be sent, so that the target cannot be reached at all
}

// Stalled returns the orders to the life that failed since one succeeded.
func (b *Book) Stalled(now time.Time, life fulmarrange.Life) Stall {
	s, ok := b.stalls[life.ID]
	if !ok {
		return Stall{}
	}
	return Stall{Since: now.Sub(s.since), Count: s.count, Unsent: s.unsent}
}

// Uncertain reports whether the life may have been granted keys over a connection that is no longer used, so
// that another life may have taken its place since. Its keys need new fences before they are granted again.
func (b *Book) Uncertain(life fulmarrange.Life) bool {
	known, ok := b.known[life]
	return ok && !known
}

// Answers reports whether the life answers grants of this sender.
func (b *Book) Answers(life fulmarrange.Life) bool { return b.known[life] }

// Holds reports whether the owner of the segment was granted its keys and can hold them at now.
func (b *Book) Holds(now time.Time, s fulmarrange.Segment) bool {
	st := b.spans[span{Grant, s.Owner, s.From, s.To}]
	if st != nil && st.done {
		return true
	}
	return len(s.Prior) == 0 && s.Owned() && b.ledger.Until(s.Owner.Life.ID, s.From, s.To).After(now)
}

// Settled returns the prior claims that need no longer stand in the table: keys of the segment were granted
// to their owner.
func (b *Book) Settled() []fulmarrange.Segment {
	var out []fulmarrange.Segment
	for _, s := range b.table.Segments() {
		if len(s.Prior) == 0 {
			continue
		}
		if st := b.spans[span{Grant, s.Owner, s.From, s.To}]; st != nil && st.done {
			out = append(out, s)
		}
	}
	return out
}

// Expire forgets grants that have lapsed at now.
func (b *Book) Expire(now time.Time) { b.ledger.Expire(now) }
