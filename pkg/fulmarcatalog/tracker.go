package fulmarcatalog

import "time"

// ReturnWindow is the time after an outage of the store within which running
// targets have restored their entries.
const ReturnWindow = 2 * time.Second

// minOutage is the duration of failing reads from which entries of running targets may have expired meanwhile.
const minOutage = time.Second

// unknownLeavingTime is the time for which a target is assumed to have been leaving if it was already leaving when it
// was first seen.
const unknownLeavingTime = time.Hour

// Tracker derives a Catalog from each of successive reads; it is not safe for concurrent use.
type Tracker struct {
	failingSince time.Time // first failed read since the last successful one; zero if none
	retainUntil  time.Time // missing targets are retained until then
}

// NewTracker returns a tracker without failed reads.
func NewTracker() *Tracker { return &Tracker{} }

// Failed records a read that failed at now.
func (k *Tracker) Failed(now time.Time) {
	if k.failingSince.IsZero() {
		k.failingSince = now
	}
}

// Read takes the targets of a complete read at now and returns the catalog that is in force. former is the
// previous catalog, which contained all changes up to formerTime; it may be nil. Missing targets are retained for
// ReturnWindow if the read follows an outage.
func (k *Tracker) Read(now time.Time, targets []Target, former *Catalog, formerTime time.Time) *Catalog {
	if !k.failingSince.IsZero() && now.Sub(k.failingSince) >= minOutage {
		k.retainUntil = now.Add(ReturnWindow)
	}
	k.failingSince = time.Time{}
	present := make(map[string]bool, len(targets))
	list := make([]Target, 0, len(targets))
	for _, t := range targets {
		t.SeenAt = now
		t.LeavingFor = leavingFor(now, t, former, formerTime)
		present[t.ID] = true
		list = append(list, t)
	}
	if former != nil && now.Before(k.retainUntil) {
		for id, t := range former.targets {
			if !present[id] && !t.Leaving {
				list = append(list, t)
			}
		}
	}
	return New(list)
}

// leavingFor returns the longest time for which the target may have been leaving at now.
func leavingFor(now time.Time, t Target, former *Catalog, formerTime time.Time) time.Duration {
	if !t.Leaving {
		return 0
	}
	if former == nil {
		return unknownLeavingTime
	}
	old, ok := former.targets[t.ID]
	switch {
	case !ok:
		return unknownLeavingTime
	case old.Leaving:
		return old.LeavingFor + now.Sub(old.SeenAt)
	default:
		return now.Sub(formerTime)
	}
}
