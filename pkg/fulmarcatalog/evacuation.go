package fulmarcatalog

import (
	"maps"
	"time"
)

// AcceptsDuringEvacuation reports whether the target may still be sent requests at now, given that those of an evacuated
// data centre get none after limit.
func (t Target) AcceptsDuringEvacuation(now time.Time, limit time.Duration) bool {
	return !t.Evacuated || t.EvacuatedFor+now.Sub(t.SeenAt) < limit
}

// withEvacuation returns the target, of which it was read at now whether it is evacuated. former is the previous catalog,
// which contained all changes up to formerTime; it may be nil.
func (t Target) withEvacuation(now time.Time, evacuated bool, former *Catalog, formerTime time.Time) Target {
	t.Evacuated, t.EvacuatedFor = evacuated, 0
	if !evacuated {
		return t
	}
	t.EvacuatedFor = unknownTime
	if former == nil {
		return t
	}
	// A target that starts in an evacuated data centre is not in the former catalog, and gets no requests at all.
	if old, ok := former.byID()[t.ID]; ok && old.Born == t.Born {
		t.EvacuatedFor = now.Sub(formerTime)
		if old.Evacuated {
			t.EvacuatedFor = old.EvacuatedFor + now.Sub(old.SeenAt)
		}
	}
	return t
}

// withEvacuatedDCs returns the data centres, and those of which the catalog knows that they are evacuated.
func (c *Catalog) withEvacuatedDCs(dcs map[string]bool) map[string]bool {
	out := maps.Clone(dcs)
	for _, t := range c.byID() {
		if t.Evacuated && !out[t.DC] {
			if out == nil {
				out = make(map[string]bool, 1)
			}
			out[t.DC] = true
		}
	}
	return out
}
