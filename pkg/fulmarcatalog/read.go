package fulmarcatalog

import "time"

// ReturnWindow is the time after an outage of the store within which running
// targets have restored their entries.
const ReturnWindow = 2 * time.Second

// unknownTime is the time for which a target is assumed to have been leaving, or evacuated, if it already was when it was
// first seen.
const unknownTime = time.Hour

// Entries are what a complete read of the store has found.
type Entries struct {
	Targets   []Target
	Evacuated map[string]bool // data centres that operators want to be evacuated
}

// Read returns the catalog of the entries of a complete read at now. former is the previous catalog, which contained all
// changes up to formerTime; it may be nil. outageEnd is when the latest outage of the store ended, the zero time if there was
// none: missing targets are retained for ReturnWindow from then on, and their number is returned, and so are evacuations.
func Read(now time.Time, found Entries, former *Catalog, formerTime, outageEnd time.Time) (c *Catalog, retained int) {
	afterOutage := former != nil && now.Sub(outageEnd) < ReturnWindow
	evacuated := found.Evacuated
	if afterOutage {
		evacuated = former.withEvacuatedDCs(evacuated)
	}
	present := make(map[string]bool, len(found.Targets))
	list := make([]Target, 0, len(found.Targets))
	for _, t := range found.Targets {
		t.SeenAt = now
		t.LeavingFor = leavingFor(now, t, former, formerTime)
		present[t.ID] = true
		list = append(list, t.withEvacuation(now, evacuated[t.DC], former, formerTime))
	}
	if afterOutage {
		for id, t := range former.byID() {
			if !present[id] && !t.Leaving {
				list = append(list, t.AsOf(now).withEvacuation(now, evacuated[t.DC], former, formerTime))
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
		return unknownTime
	}
	old, ok := former.byID()[t.ID]
	switch {
	case !ok:
		return unknownTime
	case old.Leaving:
		return old.LeavingFor + now.Sub(old.SeenAt)
	default:
		return now.Sub(formerTime)
	}
}
