package fulmarcatalog

import "time"

// Returning is the time after an outage of the store within which entries of
// living targets are back.
const ReturnWindow = 2 * time.Second

// outage is the time of failed reads from which entries of living targets may have ended meanwhile.
const outage = time.Second

// forever is the time for which a target may have been leaving that was leaving when it was first seen.
const forever = time.Hour

// Tracker derives a Catalog from each of successive reads; it is not safe for concurrent use.
type Tracker struct {
	failing time.Time // first of the failed reads since the last successful one
	until   time.Time // missing targets are kept until then
}

// NewTracker returns a tracker that has seen no failures.
func NewTracker() *Tracker { return &Tracker{} }

// Failed records a read that failed at now.
func (k *Tracker) Failed(now time.Time) {
	if k.failing.IsZero() {
		k.failing = now
	}
}

// Read takes the targets of a complete read at now and returns the catalog that is in force. former is the
// catalog of before, which contained all changes up to known; it may be nil. Targets that are missing are kept
// for a while if the read follows an outage.
func (k *Tracker) Read(now time.Time, targets []Target, former *Catalog, known time.Time) *Catalog {
	if !k.failing.IsZero() && now.Sub(k.failing) >= outage {
		k.until = now.Add(ReturnWindow)
	}
	k.failing = time.Time{}
	present := make(map[string]bool, len(targets))
	list := make([]Target, 0, len(targets))
	for _, t := range targets {
		t.SeenAt = now
		t.LeavingFor = leavingFor(now, t, former, known)
		present[t.ID] = true
		list = append(list, t)
	}
	if former != nil && now.Before(k.until) {
		for id, t := range former.targets {
			if !present[id] && !t.Leaving {
				list = append(list, t)
			}
		}
	}
	return New(list)
}

// leavingFor returns the longest time for which the target may have been leaving at now.
func leavingFor(now time.Time, t Target, former *Catalog, known time.Time) time.Duration {
	if !t.Leaving {
		return 0
	}
	if former == nil {
		return forever
	}
	old, ok := former.targets[t.ID]
	switch {
	case !ok:
		return forever
	case old.Leaving:
		return old.LeavingFor + now.Sub(old.SeenAt)
	default:
		return now.Sub(known)
	}
}
