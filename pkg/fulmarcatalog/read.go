package fulmarcatalog

import "time"

// ReturnWindow is the time after an outage of the store within which running
// targets have restored their entries.
const ReturnWindow = 2 * time.Second

// unknownLeavingTime is the time for which a target is assumed to have been leaving if it was already leaving when it
// was first seen.
const unknownLeavingTime = time.Hour

// Read returns the catalog of the targets of a complete read at now. former is the previous catalog, which contained all
// changes up to formerTime; it may be nil. outageEnd is when the latest outage of the store ended, the zero time if there was
// none: missing targets are retained for ReturnWindow from then on, and their number is returned.
func Read(now time.Time, targets []Target, former *Catalog, formerTime, outageEnd time.Time) (c *Catalog, retained int) {
	present := make(map[string]bool, len(targets))
	list := make([]Target, 0, len(targets))
	for _, t := range targets {
		t.SeenAt = now
		t.LeavingFor = leavingFor(now, t, former, formerTime)
		present[t.ID] = true
		list = append(list, t)
	}
	if former != nil && now.Sub(outageEnd) < ReturnWindow {
		for id, t := range former.targets {
			if !present[id] && !t.Leaving {
				list = append(list, t)
				retained++
			}
		}
	}
	return New(list), retained
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
