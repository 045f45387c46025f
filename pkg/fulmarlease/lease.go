package fulmarlease

import (
	"maps"
	"slices"
	"time"
)

// noExpiry is the expiry of a lease whose holder is the only member of the roster.
var noExpiry = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// Lease is a quorum lease: it is held while a majority of the roster, or the
// key-value service, has confirmed the holder's epoch within the last window.
// It is not safe for concurrent use.
type Lease struct {
	self               string
	window             time.Duration
	inRoster           bool                 // self is a member of the roster
	confirmations      map[string]time.Time // by id of another member: when its latest confirmation was requested, zero if none
	quorumConfirmation time.Time            // request time of the oldest confirmation in the newest majority
	storeConfirmation  time.Time            // request time of the latest confirmation by the key-value service
	scratch            []time.Time          // buffer of newestQuorum, reused
}

// New returns a lease for the member self that expires window after its confirmations were requested.
func New(self string, window time.Duration) *Lease {
	return &Lease{self: self, window: window, confirmations: map[string]time.Time{}}
}

// SetRoster sets the members of which a majority must confirm, and discards all
// confirmations. If the members are unchanged it does nothing: a confirmation for
// an older epoch of the same roster remains valid for a newer one.
func (l *Lease) SetRoster(ids []string) {
	confirmations := make(map[string]time.Time, len(ids))
	inRoster := false
	for _, id := range ids {
		if id == l.self {
			inRoster = true
		} else {
			confirmations[id] = time.Time{}
		}
	}
	anyTime := func(time.Time, time.Time) bool { return true }
	if inRoster == l.inRoster && maps.EqualFunc(confirmations, l.confirmations, anyTime) {
		return
	}
	l.confirmations, l.inRoster = confirmations, inRoster
	l.quorumConfirmation, l.storeConfirmation = time.Time{}, time.Time{}
}

// Confirm records that a member answered a request, sent at sent, without reporting
// a newer epoch. Ids outside the roster and outdated confirmations are ignored.
func (l *Lease) Confirm(id string, sent time.Time) {
	last, ok := l.confirmations[id]
	if !ok || !sent.After(last) {
		return
	}
	l.confirmations[id] = sent
	l.quorumConfirmation = l.newestQuorum()
}

// newestQuorum returns the request time of the oldest confirmation in the newest
// majority, zero if no majority has confirmed.
func (l *Lease) newestQuorum() time.Time {
	needed := (len(l.confirmations) + 1) / 2 // confirmations that form a majority together with self
	l.scratch = l.scratch[:0]
	for _, t := range l.confirmations {
		if !t.IsZero() {
			l.scratch = append(l.scratch, t)
		}
	}
	if len(l.scratch) < needed {
		return time.Time{}
	}
	slices.SortFunc(l.scratch, func(a, b time.Time) int { return b.Compare(a) })
	return l.scratch[needed-1]
}

// ConfirmStore records that a consistent read of the key-value service, sent at
// sent, returned the current epoch.
func (l *Lease) ConfirmStore(sent time.Time) {
	if sent.After(l.storeConfirmation) {
		l.storeConfirmation = sent
	}
}

// Expiry returns when the lease expires, zero if it was never held or self is not in the roster.
func (l *Lease) Expiry() time.Time {
	if !l.inRoster {
		return time.Time{}
	}
	if len(l.confirmations) == 0 {
		return noExpiry
	}
	confirmed := l.quorumConfirmation
	if l.storeConfirmation.After(confirmed) {
		confirmed = l.storeConfirmation
	}
	if confirmed.IsZero() {
		return confirmed
	}
	return confirmed.Add(l.window)
}

// Held reports whether the lease is held at now.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.Expiry()) }
