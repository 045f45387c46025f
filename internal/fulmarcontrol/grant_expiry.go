package fulmarcontrol

import (
	"slices"
	"time"
)

// grantExpiryLog records the latest possible expiry of the grants sent to one target.
type grantExpiryLog struct {
	entries   []grantExpiry
	lastGrant time.Time // when the last grant was recorded
}

// recentGrantPeriod is how long after its last grant a daemon reports that it sent
// grants to a target. It far exceeds the time from the last renewal for a target to
// the end of a forced move.
const recentGrantPeriod = 30 * time.Second

// grantedRecently reports whether a grant was recorded within recentGrantPeriod.
func (l *grantExpiryLog) grantedRecently(now time.Time) bool {
	return !l.lastGrant.IsZero() && now.Sub(l.lastGrant) < recentGrantPeriod
}

// grantExpiry is the latest expiry of consecutive grants for the same slots.
type grantExpiry struct {
	slots  []int // ascending
	expiry time.Time
}

// record adds a grant for slots that expires no later than expiry. Consecutive
// grants for the same slots share an entry, and expired entries are dropped.
func (l *grantExpiryLog) record(now time.Time, slots []int, expiry time.Time) {
	l.lastGrant = now
	l.entries = slices.DeleteFunc(l.entries, func(e grantExpiry) bool { return !e.expiry.After(now) })
	if n := len(l.entries); n > 0 && slices.Equal(l.entries[n-1].slots, slots) {
		if expiry.After(l.entries[n-1].expiry) {
			l.entries[n-1].expiry = expiry
		}
		return
	}
	l.entries = append(l.entries, grantExpiry{slots: slices.Clone(slots), expiry: expiry})
}

// latestExpiry returns the latest expiry of a grant for any of the slots, zero if
// there is none.
func (l *grantExpiryLog) latestExpiry(slots []int) time.Time {
	var latest time.Time
	for _, e := range l.entries {
		if e.expiry.After(latest) && intersects(e.slots, slots) {
			latest = e.expiry
		}
	}
	return latest
}

// intersects reports whether two ascending lists share an element.
func intersects(a, b []int) bool {
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0]:
			return true
		case a[0] < b[0]:
			a = a[1:]
		default:
			b = b[1:]
		}
	}
	return false
}
