package fulmarlease

import "time"

// Lease is a quorum lease: it is held while a majority of the roster, or the
// key-value service, has confirmed the holder's epoch within the window.
// It is not safe for concurrent use.
type Lease struct{}

// New returns a lease that lasts window after the confirmations were requested.
func New(self string, window time.Duration) *Lease { panic("fulmarlease: not implemented") }

// SetRoster sets the members whose majority counts and forgets all confirmations.
func (l *Lease) SetRoster(ids []string) { panic("fulmarlease: not implemented") }

// Confirm records that the member answered a request sent at sent without showing a newer epoch.
func (l *Lease) Confirm(id string, sent time.Time) { panic("fulmarlease: not implemented") }

// ConfirmStore records that a consistent read sent at sent showed the current epoch.
func (l *Lease) ConfirmStore(sent time.Time) { panic("fulmarlease: not implemented") }

// Until returns the end of the lease, zero if it was never held or self is not in the roster.
func (l *Lease) Until() time.Time { panic("fulmarlease: not implemented") }

// Held reports whether the lease is in force at now.
func (l *Lease) Held(now time.Time) bool { panic("fulmarlease: not implemented") }
