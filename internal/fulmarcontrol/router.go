package fulmarcontrol

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// maxLoads bounds the load reports that wait for the planner.
const maxLoads = 4096

// Table returns the table in force.
func (c *Controller) Table() fulmarslot.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// Config returns the configuration in force.
func (c *Controller) Config() fulmarconfig.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// Versioned returns the configuration in force with its version.
func (c *Controller) Versioned() fulmarconfig.Versioned {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versioned
}

// Complete reports whether this daemon has a table and a configuration.
func (c *Controller) HasTableAndConfig() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Epoch() > 0 && c.versioned.Version > 0
}

// Accepting reports whether callers' requests are accepted, with the reason if not.
func (c *Controller) Accepting() (fulmaroutcome.Reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return fulmaroutcome.Draining, false
	}
	now := time.Now()
	if c.table.Epoch() == 0 || c.versioned.Version == 0 || (!c.held(now) && now.Sub(c.confirmed) > c.Timing.StaleTimeout) {
		return fulmaroutcome.Stale, false
	}
	return "", true
}

// Ready returns why this daemon should not be sent callers, or an empty string.
func (c *Controller) Ready() string {
	if _, ok := c.Accepting(); !ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.closed || c.leaving:
			return "leaving"
		case c.versioned.Version == 0:
			return "no configuration: neither the key-value service nor a peer has given one"
		case c.table.Epoch() == 0:
			return "no table: neither the key-value service nor a peer has given one"
		case c.rosterIncarnation(c.Self.ID) != c.Self.Incarnation:
			return "not in the roster yet"
		}
		return "no quorum lease: neither a majority of the roster nor the key-value service confirms the table"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return "leaving"
	}
	return ""
}

// Dispatcher returns the local dispatcher of a target.
func (c *Controller) Dispatcher(target string) (http.Handler, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.keepers[target]
	if !ok || k.dispatcher == nil {
		return nil, false
	}
	return k.dispatcher, true
}

// Holder returns the daemon that most likely dispatches a target.
func (c *Controller) Holder(target string) (fulmarslot.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holderLocked(target, time.Now())
}

// holderLocked prefers what live daemons say of themselves, then what a
// not-holder answer named, then the rank. mu must be held.
func (c *Controller) holderLocked(target string, now time.Time) (fulmarslot.Member, bool) {
	if k, ok := c.keepers[target]; ok && k.holding {
		return c.Self, true
	}
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		if c.view.State(now, p.ID) != fulmarmember.Down && slices.Contains(p.status.Held, target) {
			return memberOf(p), true
		}
	}
	if p, ok := c.peers[c.learned[target]]; ok && c.view.State(now, p.ID) == fulmarmember.Live {
		return memberOf(p), true
	}
	t, ok := c.table.Target(target)
	if !ok {
		return fulmarslot.Member{}, false
	}
	id, ok := c.firstFor(t, now)
	if !ok {
		return fulmarslot.Member{}, false
	}
	if id == c.Self.ID {
		return c.Self, true
	}
	p, ok := c.peers[id]
	if !ok {
		return fulmarslot.Member{}, false
	}
	return memberOf(p), true
}

func memberOf(p *peer) fulmarslot.Member {
	return fulmarslot.Member{
		ID: p.ID, Incarnation: p.Incarnation, ControlAddress: p.Control, DataAddress: p.Data, DataCentre: p.DataCentre,
	}
}

// Down returns a channel that is closed when the member is found down.
func (c *Controller) Down(member string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[member]; ok {
		return p.down
	}
	return nil
}

// Learn notes the dispatcher that a not-holder answer named.
func (c *Controller) Learn(target, member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.table.Target(target); ok {
		c.learned[target] = member
	}
}

// Confirm asks the planner to take a member's loss as confirmed by an operator.
func (c *Controller) Confirm(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm[member] = time.Now()
	c.notify()
}

// Cleared asks the planner to end the suspicion of work that completed. Without
// it a later loss, which the work has not caused, would condemn it.
func (c *Controller) ClearSuspicion(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.table.Quarantined() {
		if q.Fingerprint == fingerprint && !q.Condemned {
			c.lift[fingerprint] = time.Now()
			c.notify()
			c.kickPlanner()
			return
		}
	}
}

// Lift asks the planner to end the quarantine of a fingerprint.
func (c *Controller) Lift(fingerprint uint64) {
	c.Guard.Lift(fingerprint)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lift[fingerprint] = time.Now()
	c.notify()
}

// Leave announces that this daemon is leaving and waits until it holds no
// target or ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.notify()
	for _, k := range c.keepers {
		k.wake()
	}
	c.mu.Unlock()
	for c.HeldTargetCount() > 0 && fulmarclock.Sleep(ctx, monitorPeriod) {
	}
}

// Refuse ends the acceptance of callers' requests.
func (c *Controller) RefuseCallers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// Holding returns the number of targets that this daemon dispatches.
func (c *Controller) HeldTargetCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.keepers {
		if k.holding {
			n++
		}
	}
	return n
}

// runLoads gathers the loads of the dispatchers for the planner.
func (c *Controller) runLoads(ctx context.Context) {
	for fulmarclock.Sleep(ctx, loadInterval) {
		c.mu.Lock()
		var dispatchers []Dispatcher
		for _, k := range c.keepers {
			if k.dispatcher != nil {
				dispatchers = append(dispatchers, k.dispatcher)
			}
		}
		c.mu.Unlock()
		for _, d := range dispatchers {
			for _, l := range d.Loads() {
				c.takeLoad(fulmarwire.Load(l))
			}
		}
	}
}

// takeLoad keeps a load report for the planner. A report that does not fit is
// dropped: loads are hints, and the next ones follow within a second.
func (c *Controller) takeLoad(l fulmarwire.Load) {
	if !c.loads.TryPut(l) {
		c.Counter.Count("load_dropped")
	}
}

// drainLoads returns the load reports that wait for the planner.
func (c *Controller) drainLoads() []fulmarwire.Load {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Get returns what is there and does not wait
	var out []fulmarwire.Load
	for {
		l, ok := c.loads.Get(ctx)
		if !ok {
			return out
		}
		out = append(out, l)
	}
}

func epochOf(raw []byte) (uint64, error) {
	table, err := fulmarslot.Decode(raw)
	return table.Epoch(), err
}
