package fulmarcatalog

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Target describes a target as registered in its entry.
type Target struct {
	ID         string        `cbor:"id"`
	Born       int64         `cbor:"born"` // start of the process; greater for a later start with the same id
	Service    string        `cbor:"service"`
	Address    string        `cbor:"address"` // host:port
	DC         string        `cbor:"dc"`
	Slots      int           `cbor:"slots"`
	Leaving    bool          `cbor:"leaving,omitempty"`
	LeavingFor time.Duration `cbor:"for,omitempty"`  // upper bound of the time since it began to leave, at SeenAt
	WarmupLeft time.Duration `cbor:"cold,omitempty"` // remaining time in which it is slow after its start, at SeenAt
	// Evacuated states that operators want no requests to the targets of its data centre until they take it back, and
	// EvacuatedFor is an upper bound of the time since they asked for that, at SeenAt.
	Evacuated    bool          `cbor:"evacuated,omitempty"`
	EvacuatedFor time.Duration `cbor:"evacuating,omitempty"`
	SeenAt       time.Time     `cbor:"-"`
}

// AcceptsRequests reports whether the target may still be sent requests for keys that it holds at now, given that a
// leaving target accepts them for drain.
func (t Target) AcceptsRequests(now time.Time, drain time.Duration) bool {
	return !t.Leaving || t.LeavingFor+now.Sub(t.SeenAt) < drain
}

// IsWarmingUp reports whether the target is still slow after its start at now.
func (t Target) IsWarmingUp(now time.Time) bool { return now.Sub(t.SeenAt) < t.WarmupLeft }

// Incarnation returns the incarnation that the entry describes.
func (t Target) Incarnation() fulmarrange.Incarnation {
	return fulmarrange.Incarnation{ID: t.ID, Born: t.Born}
}

// warmupTolerance is the difference of remaining warm-ups that is no change. Targets report theirs from time to time, and what is
// known of it varies by about that.
const warmupTolerance = 500 * time.Millisecond

// equivalent reports whether a and b are equal for routing, which ignores their times. A target that is cold again differs
// from what it was.
func equivalent(a, b Target) bool {
	latest := a.SeenAt
	if b.SeenAt.After(latest) {
		latest = b.SeenAt
	}
	if (a.AsOf(latest).WarmupLeft - b.AsOf(latest).WarmupLeft).Abs() > warmupTolerance {
		return false
	}
	a.WarmupLeft, b.WarmupLeft, a.LeavingFor, b.LeavingFor = 0, 0, 0, 0
	a.EvacuatedFor, b.EvacuatedFor = 0, 0
	a.SeenAt, b.SeenAt = time.Time{}, time.Time{}
	return a == b
}

// Catalog is an immutable set of targets. A nil Catalog has none: it stands for targets that are not known yet.
type Catalog struct {
	targets  map[string]Target
	services map[string][]Target // by service, sorted by id
}

// New returns the catalog of the targets. Of two with the same id, it holds the one that started later.
func New(targets []Target) *Catalog {
	c := &Catalog{targets: make(map[string]Target, len(targets)), services: make(map[string][]Target)}
	for _, t := range targets {
		if old, ok := c.targets[t.ID]; !ok || old.Born <= t.Born {
			c.targets[t.ID] = t
		}
	}
	for _, t := range c.targets {
		c.services[t.Service] = append(c.services[t.Service], t)
	}
	for _, list := range c.services {
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c
}

// byID returns the targets by id; the caller must not modify them.
func (c *Catalog) byID() map[string]Target {
	if c == nil {
		return nil
	}
	return c.targets
}

// Target returns the target with the given id.
func (c *Catalog) Target(id string) (Target, bool) {
	t, ok := c.byID()[id]
	return t, ok
}

// Service returns the targets of a service sorted by id; the caller must not modify them.
func (c *Catalog) Service(name string) []Target {
	if c == nil {
		return nil
	}
	return c.services[name]
}

// Targets returns all targets in no particular order.
func (c *Catalog) Targets() []Target {
	out := make([]Target, 0, len(c.byID()))
	for _, t := range c.byID() {
		out = append(out, t)
	}
	return out
}

// All iterates over the targets in no particular order.
func (c *Catalog) All() iter.Seq[Target] { return maps.Values(c.byID()) }

// AsOf returns the target with its times advanced to now.
func (t Target) AsOf(now time.Time) Target {
	passed := max(now.Sub(t.SeenAt), 0)
	t.WarmupLeft = max(t.WarmupLeft-passed, 0)
	if t.Leaving {
		t.LeavingFor += passed
	}
	if t.Evacuated {
		t.EvacuatedFor += passed
	}
	t.SeenAt = now
	return t
}

// Len returns the number of targets.
func (c *Catalog) Len() int { return len(c.byID()) }

// Equivalent reports whether both catalogues are equal for routing, which ignores the times of targets.
func (c *Catalog) Equivalent(o *Catalog) bool {
	if len(c.byID()) != len(o.byID()) {
		return false
	}
	for id, t := range c.byID() {
		u, ok := o.byID()[id]
		if !ok || !equivalent(t, u) {
			return false
		}
	}
	return true
}

// Diff returns the targets that are new or differ from those of old, and the ids that are no longer present.
func (c *Catalog) Diff(old *Catalog) (changed []Target, gone []string) {
	for id, t := range c.byID() {
		if u, ok := old.byID()[id]; !ok || !equivalent(t, u) {
			changed = append(changed, t)
		}
	}
	for id := range old.byID() {
		if _, ok := c.byID()[id]; !ok {
			gone = append(gone, id)
		}
	}
	return changed, gone
}

// Joined returns the targets whose incarnations old does not have, in no particular order.
func (c *Catalog) Joined(old *Catalog) (out []Target) {
	for id, t := range c.byID() {
		if u, ok := old.byID()[id]; !ok || u.Born != t.Born {
			out = append(out, t)
		}
	}
	return out
}

// WithLeaving returns a catalog in which the targets that have said so are leaving since the given times, whatever their
// entries state. The catalog contains all changes of entries up to asOf: they may have been leaving since then, as far as the
// store knows.
func (c *Catalog) WithLeaving(now, asOf time.Time, since map[fulmarrange.Incarnation]time.Time) *Catalog {
	var changed []Target
	for incarnation, at := range since {
		t, ok := c.byID()[incarnation.ID]
		if !ok || t.Born != incarnation.Born || t.Leaving {
			continue
		}
		t = t.AsOf(now)
		t.Leaving, t.LeavingFor = true, max(now.Sub(at), now.Sub(asOf), 0)
		changed = append(changed, t)
	}
	if len(changed) == 0 {
		return c
	}
	return c.With(changed, nil)
}

// With returns a catalog in which the changed targets are added or replaced and those with the ids gone are removed.
func (c *Catalog) With(changed []Target, gone []string) *Catalog {
	targets := make(map[string]Target, c.Len()+len(changed))
	maps.Copy(targets, c.byID())
	for _, id := range gone {
		delete(targets, id)
	}
	for _, t := range changed {
		targets[t.ID] = t
	}
	return New(slices.Collect(maps.Values(targets)))
}
