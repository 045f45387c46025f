package fulmarledger

import (
	"slices"
	"time"
)

// slowClock is the factor by which a grant may outlast its time on a target whose clock is slow.
const slowClock = 1.02

// slack covers the time between a reset of a connection and its effect on bytes already on their way.
const slack = 50 * time.Millisecond

// Grant identifies an entered grant.
type GrantID int64

type entry struct {
	id       GrantID
	from, to int
	fence    int64
	hold     time.Duration
	open     bool // the call has not ended
	answered bool
	earlier  bool // of an earlier sender
	until    time.Time
}

// Ledger holds the grants that may be in force; it is not safe for concurrent use.
type Ledger struct {
	next    GrantID
	entries map[string][]entry
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{entries: make(map[string][]entry)} }

// lasts returns the latest end of a grant that arrived at the given time.
func lasts(arrived time.Time, hold time.Duration) time.Time {
	return arrived.Add(time.Duration(float64(hold) * slowClock)).Add(slack)
}

// Enter records that a grant is about to be sent.
func (l *Ledger) Begin(target string, from, to int, fence int64, hold time.Duration) GrantID {
	l.next++
	l.entries[target] = append(l.entries[target], entry{id: l.next, from: from, to: to, fence: fence, hold: hold, open: true})
	return l.next
}

// Answered records at now that the target applied the grant. It replaces older answered grants within its range,
// and the target refuses what it has not answered of lower fences there.
func (l *Ledger) Answered(now time.Time, target string, id GrantID) {
	list := l.entries[target]
	i := find(list, id)
	if i < 0 {
		return
	}
	e := list[i]
	e.open, e.answered, e.until = false, true, lasts(now, e.hold)
	var kept []entry
	for _, old := range list {
		switch {
		case old.id == id || old.answered && old.from >= e.from && old.to <= e.to && !old.until.After(e.until):
		case !old.open && !old.answered && old.fence < e.fence:
			kept = appendOutside(kept, old, e.from, e.to)
		default:
			kept = append(kept, old)
		}
	}
	l.entries[target] = append(kept, e)
}

// Refused records that the target did not apply the grant and will not.
func (l *Ledger) Refused(target string, id GrantID) {
	list := l.entries[target]
	if i := find(list, id); i >= 0 {
		l.entries[target] = append(list[:i], list[i+1:]...)
	}
}

// Lost records that the call ended at now without an answer and its connection was reset.
func (l *Ledger) Unanswered(now time.Time, target string, id GrantID) {
	list := l.entries[target]
	if i := find(list, id); i >= 0 {
		list[i].open, list[i].until = false, lasts(now, list[i].hold)
	}
}

// Released records that the target answered a release of the keys.
func (l *Ledger) Released(target string, from, to int) {
	var out []entry
	for _, e := range l.entries[target] {
		if !e.answered {
			out = append(out, e)
			continue
		}
		out = appendOutside(out, e, from, to)
	}
	l.set(target, out)
}

// appendOutside appends the parts of a grant that lie outside of the keys.
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

// Ended records that the target has ended. Grants whose calls are under way count until they are settled.
func (l *Ledger) TargetEnded(target string) {
	var open []entry
	for _, e := range l.entries[target] {
		if e.open {
			open = append(open, e)
		}
	}
	l.set(target, open)
}

// Inherit records grants of an earlier sender that is not able to send any more. Answered ones last at
// most until answered, unanswered ones at most until unanswered.
func (l *Ledger) Inherit(target string, from, to int, fence int64, answered, unanswered time.Time) {
	l.next += 2
	l.entries[target] = append(
		l.entries[target],
		entry{id: l.next - 1, from: from, to: to, fence: fence, answered: true, earlier: true, until: answered},
		entry{id: l.next, from: from, to: to, fence: fence, earlier: true, until: unanswered},
	)
}

// Limit records that the grants of earlier senders last no longer than until.
func (l *Ledger) LimitInherited(until time.Time) {
	for _, list := range l.entries {
		for i := range list {
			if list[i].earlier && list[i].until.After(until) {
				list[i].until = until
			}
		}
	}
}

// Pending reports whether the target may apply a grant late that lasts until after now.
func (l *Ledger) HasUnanswered(now time.Time, target string) bool {
	return slices.ContainsFunc(l.entries[target], func(e entry) bool { return !e.answered && !e.open && e.until.After(now) })
}

// Lasting reports whether any target may apply a grant late that lasts until after at, where calls that are
// under way end at now.
func (l *Ledger) HasUnansweredAfter(now, at time.Time) bool {
	for _, list := range l.entries {
		for _, e := range list {
			if e.open && lasts(now, e.hold).After(at) || !e.open && !e.answered && e.until.After(at) {
				return true
			}
		}
	}
	return false
}

// Free reports whether the target surely holds none of the keys at now. If not, at is the
// time from which it holds none unless something is sent, or zero while a call is open.
func (l *Ledger) Free(now time.Time, target string, from, to int) (free bool, at time.Time) {
	free = true
	open := false
	for _, e := range l.entries[target] {
		if e.to < from || e.from > to {
			continue
		}
		if e.open {
			free, open = false, true
			continue
		}
		if e.until.After(now) {
			free = false
			if e.until.After(at) {
				at = e.until
			}
		}
	}
	if open {
		at = time.Time{}
	}
	return free, at
}

// Latest returns the time after which no target holds keys by the grants so far, where calls that are under way end
// at now.
func (l *Ledger) LatestExpiry(now time.Time) (latest time.Time) {
	for _, list := range l.entries {
		for _, e := range list {
			until := e.until
			if e.open {
				until = lasts(now, e.hold)
			}
			if until.After(latest) {
				latest = until
			}
		}
	}
	return latest
}

// Until returns the latest time up to which the target may hold any of the keys by answered grants.
func (l *Ledger) AnsweredUntil(target string, from, to int) (until time.Time) {
	for _, e := range l.entries[target] {
		if e.answered && e.to >= from && e.from <= to && e.until.After(until) {
			until = e.until
		}
	}
	return until
}

// Expire drops the grants that have lapsed at now.
func (l *Ledger) Expire(now time.Time) {
	for target, list := range l.entries {
		kept := list[:0]
		for _, e := range list {
			if e.open || e.until.After(now) {
				kept = append(kept, e)
			}
		}
		l.set(target, kept)
	}
}

func (l *Ledger) set(target string, list []entry) {
	if len(list) == 0 {
		delete(l.entries, target)
		return
	}
	l.entries[target] = list
}

func find(list []entry, id GrantID) int {
	for i := range list {
		if list[i].id == id {
			return i
		}
	}
	return -1
}
