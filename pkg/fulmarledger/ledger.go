package fulmarledger

import (
	"slices"
	"time"
)

// maxClockStretch is the factor by which a grant may outlast its duration on a target whose clock is slow.
const maxClockStretch = 1.02

// resetDelay covers the time between the reset of a connection and its effect on bytes already in transit.
const resetDelay = 50 * time.Millisecond

// OrderID identifies a grant or a release in a ledger. Later orders have greater ids.
type OrderID int64

// entry is a grant that may be in force.
type entry struct {
	id        OrderID
	from, to  int
	fence     int64
	ttl       time.Duration
	inFlight  bool // the call has not completed
	answered  bool
	inherited bool // sent by a previous sender
	expires   time.Time
	// certain means that the target does not apply the grant later: it has applied it, or never will. Otherwise the grant may still be
	// under way, as it was not answered, or its answer may be the copy of an earlier one of its connection.
	certain    bool
	settledAt  OrderID // the last order that had begun when the grant became certain
	connection int64   // on which the answer was received
	// supersededBy is a connection on which a grant of all these keys with a greater fence was answered, but not for certain, or
	// zero. The target refuses this grant from then on if it has applied that one.
	supersededBy int64
}

// pending reports whether the target may still apply a grant whose call has ended.
func (e entry) pending() bool { return !e.inFlight && !e.certain }

// endsWith reports whether the target holds none of the entry's keys any longer than under another grant.
func (e entry) endsWith(other entry) bool {
	return e.from >= other.from && e.to <= other.to && !e.expires.After(other.expires)
}

// settle records that the target does not apply the grant later, as known when the order at was the last one that had begun.
func (e *entry) settle(at OrderID) { e.certain, e.supersededBy, e.settledAt = true, 0, at }

// settledBy reports whether the grant has been decided once the target has handled all grants of the connection.
func (e entry) settledBy(connection int64) bool {
	return connection != 0 && (e.answered && e.connection == connection || e.supersededBy == connection)
}

// Ledger holds the grants that may be in force; it is not safe for concurrent use.
type Ledger struct {
	lastID  OrderID
	entries map[string][]entry
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{entries: make(map[string][]entry)} }

// latestExpiry returns the latest time at which a grant that arrived at the given time expires.
func latestExpiry(arrived time.Time, ttl time.Duration) time.Time {
	return arrived.Add(time.Duration(float64(ttl) * maxClockStretch)).Add(resetDelay)
}

// Begin records that a grant of a range of keys is about to be sent. Both bounds are inclusive.
func (l *Ledger) Begin(target string, from, to int, fence int64, ttl time.Duration) OrderID {
	l.lastID++
	l.entries[target] = append(l.entries[target], entry{id: l.lastID, from: from, to: to, fence: fence, ttl: ttl, inFlight: true})
	return l.lastID
}

// BeginRelease records that a release is about to be sent.
func (l *Ledger) BeginRelease() OrderID {
	l.lastID++
	return l.lastID
}

// Answered records that the target has answered the grant, as known at now, and whether it has certainly applied it. The grant
// replaces those within its range that expire no later, unless they may be applied after it: the target handles the grants of a
// connection in their order, but those of another connection at any time. The target refuses grants in its range with lower fences
// from then on, or, if the grant isn't certain, from AllHandled. It may have applied them before, and then holds their keys until
// they expire: no grant ends an earlier one.
func (l *Ledger) Answered(now time.Time, target string, id OrderID, connection int64, certain bool) {
	list := l.entries[target]
	i := indexOf(list, id)
	if i < 0 {
		return
	}
	e := list[i]
	e.inFlight, e.answered, e.expires = false, true, latestExpiry(now, e.ttl)
	e.connection, e.certain, e.settledAt = connection, certain, l.lastID
	var kept []entry
	for _, old := range list {
		switch {
		case old.id == id || old.endsWith(e) && (old.certain || old.answered && old.connection == connection):
		case old.pending() && old.fence < e.fence && !old.settledBy(connection):
			kept = appendOutside(kept, old, e.from, e.to)
			if from, to := max(old.from, e.from), min(old.to, e.to); from <= to {
				old.from, old.to = from, to
				kept = appendSuperseded(kept, old, e)
			}
		default:
			kept = append(kept, old)
		}
	}
	l.entries[target] = append(kept, e)
}

// appendSuperseded appends a grant whose keys are all in an answered one with a greater fence, unless it ends with that one.
func appendSuperseded(dst []entry, old, by entry) []entry {
	if !by.certain {
		old.supersededBy = by.connection
		return append(dst, old)
	}
	if old.endsWith(by) {
		return dst
	}
	old.settle(by.settledAt)
	return append(dst, old)
}

// Refused records that the target did not apply the grant and will not.
func (l *Ledger) Refused(target string, id OrderID) {
	list := l.entries[target]
	if i := indexOf(list, id); i >= 0 {
		l.entries[target] = append(list[:i], list[i+1:]...)
	}
}

// Unanswered records that the call ended at now without an answer and that its connection was reset.
func (l *Ledger) Unanswered(now time.Time, target string, id OrderID) {
	list := l.entries[target]
	if i := indexOf(list, id); i >= 0 {
		list[i].inFlight, list[i].expires = false, latestExpiry(now, list[i].ttl)
	}
}

// AllHandled records that the target has handled all grants that were sent on the connection before a release that it has answered
// there, and has refused none of them.
func (l *Ledger) AllHandled(target string, connection int64, release OrderID) {
	list := l.entries[target]
	for i := range list {
		if list[i].id < release && list[i].settledBy(connection) {
			list[i].settle(release - 1)
		}
	}
}

// ConnectionEnded records that the target handles no further grant of the connection: it has applied the answered ones, or never
// will.
func (l *Ledger) ConnectionEnded(target string, connection int64) {
	list := l.entries[target]
	for i := range list {
		if list[i].answered && list[i].connection == connection && !list[i].certain {
			list[i].settle(l.lastID)
		}
	}
}

// Released records that the target answered a release of the keys. A target answers when its work on the keys has ended, so grants
// that it may have applied since the release began are kept, and so are those that it may apply later.
func (l *Ledger) Released(target string, from, to int, release OrderID) {
	var out []entry
	for _, e := range l.entries[target] {
		if !e.certain || e.settledAt >= release {
			out = append(out, e)
			continue
		}
		out = appendOutside(out, e, from, to)
	}
	l.setEntries(target, out)
}

// appendOutside appends the parts of a grant that lie outside a range of keys.
func appendOutside(dst []entry, e entry, from, to int) []entry {
	if e.to < from || e.from > to {
		return append(dst, e)
	}
	if e.from < from {
		left := e
		left.to = from - 1
		dst = append(dst, left)
	}
	if e.to > to {
		right := e
		right.from = to + 1
		dst = append(dst, right)
	}
	return dst
}

// TargetEnded records that the target has ended. Grants in flight still count until their calls complete.
func (l *Ledger) TargetEnded(target string) {
	var inFlight []entry
	for _, e := range l.entries[target] {
		if e.inFlight {
			inFlight = append(inFlight, e)
		}
	}
	l.setEntries(target, inFlight)
}

// Inherit records the grants of a previous sender that can no longer send. Answered grants expire no later than
// answeredUntil, unanswered ones no later than unansweredUntil.
func (l *Ledger) Inherit(target string, from, to int, fence int64, answeredUntil, unansweredUntil time.Time) {
	l.lastID += 2
	l.entries[target] = append(
		l.entries[target],
		entry{id: l.lastID - 1, from: from, to: to, fence: fence, answered: true, certain: true, inherited: true, expires: answeredUntil},
		entry{id: l.lastID, from: from, to: to, fence: fence, inherited: true, expires: unansweredUntil},
	)
}

// LimitInherited records that the grants of previous senders expire no later than until.
func (l *Ledger) LimitInherited(until time.Time) {
	for _, list := range l.entries {
		for i := range list {
			if list[i].inherited && list[i].expires.After(until) {
				list[i].expires = until
			}
		}
	}
}

// HasPending reports whether the target may still apply a grant that expires after now, even when it has handled all grants of
// the connection.
func (l *Ledger) HasPending(now time.Time, target string, connection int64) bool {
	return slices.ContainsFunc(l.entries[target], func(e entry) bool { return e.pending() && !e.settledBy(connection) && e.expires.After(now) })
}

// SettledBy reports whether the target may hold any of the keys at now under a grant that is decided once it has handled all grants
// of the connection.
func (l *Ledger) SettledBy(now time.Time, target string, connection int64, from, to int) bool {
	return slices.ContainsFunc(l.entries[target], func(e entry) bool {
		return e.to >= from && e.from <= to && e.settledBy(connection) && e.expires.After(now)
	})
}

// MayHoldSettled reports whether the target may hold any of the keys at now under a grant that it does not apply later, so that a
// release ends it.
func (l *Ledger) MayHoldSettled(now time.Time, target string, from, to int) bool {
	return slices.ContainsFunc(l.entries[target], func(e entry) bool {
		return e.to >= from && e.from <= to && e.certain && e.expires.After(now)
	})
}

// HasPendingAfter reports whether any target may still apply a grant that expires after at, assuming that calls in flight
// end at now.
func (l *Ledger) HasPendingAfter(now, at time.Time) bool {
	for _, list := range l.entries {
		for _, e := range list {
			if e.inFlight && latestExpiry(now, e.ttl).After(at) || e.pending() && e.expires.After(at) {
				return true
			}
		}
	}
	return false
}

// Free reports whether the target certainly holds none of the keys at now. If not, freeAt is the time from which it
// holds none unless another grant is sent, or zero while a call is in flight.
func (l *Ledger) Free(now time.Time, target string, from, to int) (free bool, freeAt time.Time) {
	free = true
	inFlight := false
	for _, e := range l.entries[target] {
		if e.to < from || e.from > to {
			continue
		}
		if e.inFlight {
			free, inFlight = false, true
			continue
		}
		if e.expires.After(now) {
			free = false
			if e.expires.After(freeAt) {
				freeAt = e.expires
			}
		}
	}
	if inFlight {
		freeAt = time.Time{}
	}
	return free, freeAt
}

// LatestExpiry returns the time after which no target holds keys under the recorded grants, assuming that calls in
// flight end at now.
func (l *Ledger) LatestExpiry(now time.Time) (latest time.Time) {
	for _, list := range l.entries {
		for _, e := range list {
			until := e.expires
			if e.inFlight {
				until = latestExpiry(now, e.ttl)
			}
			if until.After(latest) {
				latest = until
			}
		}
	}
	return latest
}

// AnsweredUntil returns the latest time at which an answered grant of any of the keys to the target expires.
func (l *Ledger) AnsweredUntil(target string, from, to int) (until time.Time) {
	for _, e := range l.entries[target] {
		if e.answered && e.to >= from && e.from <= to && e.expires.After(until) {
			until = e.expires
		}
	}
	return until
}

// Expire drops the grants that have expired at now.
func (l *Ledger) Expire(now time.Time) {
	for target, list := range l.entries {
		kept := list[:0]
		for _, e := range list {
			if e.inFlight || e.expires.After(now) {
				kept = append(kept, e)
			}
		}
		l.setEntries(target, kept)
	}
}

func (l *Ledger) setEntries(target string, list []entry) {
	if len(list) == 0 {
		delete(l.entries, target)
		return
	}
	l.entries[target] = list
}

// indexOf returns the index of a grant in the list, or -1.
func indexOf(list []entry, id OrderID) int {
	for i := range list {
		if list[i].id == id {
			return i
		}
	}
	return -1
}
