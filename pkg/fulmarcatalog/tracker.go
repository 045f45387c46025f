package fulmarcatalog

import "time"

// Returning is the time after an outage of the store within which entries of
// living targets are back.
const Returning = 2 * time.Second

// gap is the time without a successful read that counts as an outage; it is
// over three reads at the usual pace.
const gap = 1800 * time.Millisecond

// Tracker derives a Catalog from each of successive reads; it is not safe for concurrent use.
type Tracker struct {
	last    time.Time // of the last successful read
	until   time.Time // missing targets are kept until then
	kept    map[string]Target
	leaving map[string]time.Time // latest time at which each target was known not to be leaving
}

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker {
	return &Tracker{kept: make(map[string]Target), leaving: make(map[string]time.Time)}
}

// Read takes the targets of a complete read at now and returns the catalog that is in force. Targets that
// are missing are kept for a while if the read follows an outage.
func (k *Tracker) Read(now time.Time, targets []Target) *Catalog {
	if !k.last.IsZero() && now.Sub(k.last) > gap {
		k.until = now.Add(Returning)
	}
	before := k.last
	k.last = now
	present := make(map[string]Target, len(targets))
	list := make([]Target, 0, len(targets))
	for _, t := range targets {
		t.Seen = now
		t.For = k.leavingFor(now, before, t)
		present[t.ID] = t
		list = append(list, t)
	}
	if now.Before(k.until) {
		for id, t := range k.kept {
			if _, ok := present[id]; !ok && !t.Leaving {
				present[id] = t
				list = append(list, t)
			}
		}
	}
	k.kept = present
	for id := range k.leaving {
		if t, ok := present[id]; !ok || !t.Leaving {
			delete(k.leaving, id)
		}
	}
	return New(list)
}

// forever is the time for which a target may have been leaving that was leaving when it was first seen.
const forever = time.Hour

// leavingFor returns the longest time for which the target may have been leaving at now.
func (k *Tracker) leavingFor(now, before time.Time, t Target) time.Duration {
	if !t.Leaving {
		return 0
	}
	since, ok := k.leaving[t.ID]
	if !ok {
		since = now.Add(-forever)
		if old, seen := k.kept[t.ID]; seen && !old.Leaving {
			since = before
		}
		k.leaving[t.ID] = since
	}
	return now.Sub(since)
}
