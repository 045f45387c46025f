package fulmarnewcomer

import (
	"math"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Triers is the mean number of daemons that try a newcomer. With 6, one newcomer in 400 is drawn by none, and the few requests
// are less than a target takes that has just started.
const Triers = 6

// Trials are the targets that one daemon has yet to try; it is safe for concurrent use.
type Trials struct {
	daemon string

	mu      sync.Mutex
	catalog *fulmarcatalog.Catalog
	untried map[string]map[fulmarrange.Incarnation]bool // by service
}

// New returns the trials of a daemon, which knows no targets yet.
func New(daemon string) *Trials {
	return &Trials{daemon: daemon, untried: make(map[string]map[fulmarrange.Incarnation]bool)}
}

// Update takes over the catalog, in a fleet of the given number of daemons. The targets of the first one are no newcomers: a
// daemon that starts would try all of them.
func (t *Trials) Update(c *fulmarcatalog.Catalog, daemons int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.catalog == c {
		return
	}
	former := t.catalog
	t.catalog = c
	if former == nil {
		return
	}
	for service, targets := range t.untried {
		for target := range targets {
			if listed, ok := c.Target(target.ID); !ok || listed.Incarnation() != target {
				t.remove(service, target)
			}
		}
	}
	for _, target := range c.Joined(former) {
		if !t.draws(target.Incarnation(), daemons) {
			continue
		}
		if t.untried[target.Service] == nil {
			t.untried[target.Service] = make(map[fulmarrange.Incarnation]bool, 1)
		}
		t.untried[target.Service][target.Incarnation()] = true
	}
}

// draws reports whether the daemon is one of those that try a newcomer.
func (t *Trials) draws(target fulmarrange.Incarnation, daemons int) bool {
	hash := xxhash.Sum64String(t.daemon + "\x00" + target.ID + "\x00" + strconv.FormatInt(target.Born, 10))
	return float64(hash)/math.MaxUint64 < Triers/float64(max(daemons, 1))
}

// Pending reports whether the daemon has yet to try a target of the service.
func (t *Trials) Pending(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.untried[service]) > 0
}

// Take reports whether the daemon has yet to try the target; from then on, it has tried it.
func (t *Trials) Take(target fulmarcatalog.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.untried[target.Service][target.Incarnation()] {
		return false
	}
	t.remove(target.Service, target.Incarnation())
	return true
}

// remove ends the trial of a target. The caller holds mu.
func (t *Trials) remove(service string, target fulmarrange.Incarnation) {
	if delete(t.untried[service], target); len(t.untried[service]) == 0 {
		delete(t.untried, service)
	}
}
