package fulmarlease

import (
	"maps"
	"slices"
	"time"
)

// forever is the end of the lease of a holder that is the whole roster.
var forever = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// Lease is a quorum lease: it is held while a majority of the roster, or the
// key-value service, has confirmed the holder's epoch within the window.
// It is not safe for concurrent use.
type Lease struct {
	self   string
	window time.Duration
	member bool                 // whether self is in the roster
	sent   map[string]time.Time // latest confirmation by other members, zero if none
	quorum time.Time            // when the oldest confirmation of the newest majority was requested
	store  time.Time
	order  []time.Time // scratch
}

// New returns a lease that lasts window after the confirmations were requested.
func New(self string, window time.Duration) *Lease {
	return &Lease{self: self, window: window, sent: map[string]time.Time{}}
}

// SetRoster sets the members whose majority counts and forgets all confirmations.
// A call with the members already set changes nothing: a confirmation for an older
// epoch of the same roster stays valid for a newer one.
func (l *Lease) SetRoster(ids []string) {
	next := make(map[string]time.Time, len(ids))
	member := false
	for _, id := range ids {
		if id == l.self {
			member = true
		} else {
			next[id] = time.Time{}
		}
	}
	same := func(time.Time, time.Time) bool { return true }
	if member == l.member && maps.EqualFunc(next, l.sent, same) {
		return
	}
	l.sent, l.member = next, member
	l.quorum, l.store = time.Time{}, time.Time{}
}

// Confirm records that the member answered a request sent at sent without showing a newer epoch.
func (l *Lease) Confirm(id string, sent time.Time) {
	last, ok := l.sent[id]
	if !ok || !sent.After(last) {
		return
	}
	l.sent[id] = sent
	l.quorum = l.newest()
}

// newest returns when the oldest confirmation of the newest majority was requested, zero if there is none.
func (l *Lease) newest() time.Time {
	others := (len(l.sent) + 1) / 2 // a majority of the roster without self
	l.order = l.order[:0]
	for _, t := range l.sent {
		if !t.IsZero() {
			l.order = append(l.order, t)
		}
	}
	if len(l.order) < others {
		return time.Time{}
	}
	slices.SortFunc(l.order, func(a, b time.Time) int { return b.Compare(a) })
	return l.order[others-1]
}

// ConfirmStore records that a consistent read sent at sent showed the current epoch.
func (l *Lease) ConfirmStore(sent time.Time) {
	if sent.After(l.store) {
		l.store = sent
	}
}

// Until returns the end of the lease, zero if it was never held or self is not in the roster.
func (l *Lease) Expiry() time.Time {
	if !l.member {
		return time.Time{}
	}
	if len(l.sent) == 0 {
		return forever
	}
	last := l.quorum
	if l.store.After(last) {
		last = l.store
	}
	if last.IsZero() {
		return last
	}
	return last.Add(l.window)
}

// Held reports whether the lease is in force at now.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.Expiry()) }
