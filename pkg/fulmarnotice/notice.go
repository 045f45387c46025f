package fulmarnotice

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Notice is what one incarnation of a target has said; it is immutable.
type Notice struct {
	Target       fulmarrange.Incarnation
	LeavingSince time.Time // when an answer first said that the target leaves; zero if none has
	PausedUntil  time.Time // end of the latest pause; zero if there was none
}

// WithLeaving returns the notice after a statement at the given time that the target leaves. The earliest one counts, as it
// bounds the time for which requests may be sent.
func (n Notice) WithLeaving(at time.Time) Notice {
	if n.LeavingSince.IsZero() || at.Before(n.LeavingSince) {
		n.LeavingSince = at
	}
	return n
}

// WithPause returns the notice after a statement that the target wants no requests until the given time. The latest end
// counts.
func (n Notice) WithPause(until time.Time) Notice {
	if until.After(n.PausedUntil) {
		n.PausedUntil = until
	}
	return n
}

// IsLeaving reports whether the target has said that it leaves.
func (n Notice) IsLeaving() bool { return !n.LeavingSince.IsZero() }

// AcceptsRequests reports whether the target may still get requests that a caller sent at the given time, given that a
// leaving target accepts them for drain.
func (n Notice) AcceptsRequests(sentAt time.Time, drain time.Duration) bool {
	return !n.IsLeaving() || sentAt.Sub(n.LeavingSince) < drain
}

// PauseLeft returns the remaining time of the pause at now, zero if there is none.
func (n Notice) PauseLeft(now time.Time) time.Duration { return max(n.PausedUntil.Sub(now), 0) }
