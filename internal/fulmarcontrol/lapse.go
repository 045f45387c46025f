package fulmarcontrol

import (
	"slices"
	"time"
)

// lapseLog remembers until when grants that were sent to one target may last.
type lapseLog struct {
	entries []lapseEntry
	last    time.Time // when the last grant was decided on
}

// sentWithin is how long after its last grant a daemon counts as having sent
// grants to a target. It exceeds the time from a target's last renewal to the
// end of a forced move by far.
const sentWithin = 30 * time.Second

// sent reports whether a grant was sent lately.
func (l *lapseLog) sent(now time.Time) bool {
	return !l.last.IsZero() && now.Sub(l.last) < sentWithin
}

type lapseEntry struct {
	slots []int // ascending
	until time.Time
}

// record notes a grant for slots that lapses no later than until. It keeps
// one entry for each run of equal slot sets and drops entries that have ended.
func (l *lapseLog) record(now time.Time, slots []int, until time.Time) {
	l.last = now
	l.entries = slices.DeleteFunc(l.entries, func(e lapseEntry) bool { return !e.until.After(now) })
	if n := len(l.entries); n > 0 && slices.Equal(l.entries[n-1].slots, slots) {
		if until.After(l.entries[n-1].until) {
			l.entries[n-1].until = until
		}
		return
	}
	l.entries = append(l.entries, lapseEntry{slots: slices.Clone(slots), until: until})
}

// until returns the latest end of a grant that has any of the slots, zero if there is none.
func (l *lapseLog) until(slots []int) time.Time {
	var latest time.Time
	for _, e := range l.entries {
		if e.until.After(latest) && intersects(e.slots, slots) {
			latest = e.until
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
