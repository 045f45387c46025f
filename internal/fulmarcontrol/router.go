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

// maxLoads is the capacity of the queue of load reports for the planner.
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

// Versioned returns the configuration in force with its version and metadata.
func (c *Controller) Versioned() fulmarconfig.Versioned {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versionedConfig
}

// HasTableAndConfig reports whether this daemon has a table and a configuration.
func (c *Controller) HasTableAndConfig() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Epoch() > 0 && c.versionedConfig.Version > 0
}

// Accepting reports whether requests of callers are accepted, with the reason if not.
func (c *Controller) Accepting() (fulmaroutcome.Reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusesCallers {
		return fulmaroutcome.Draining, false
	}
	now := time.Now()
	if c.table.Epoch() == 0 || c.versionedConfig.Version == 0 || (!c.updateLease(now) && now.Sub(c.lastConfirmed) > c.Timing.StaleTimeout) {
		return fulmaroutcome.Stale, false
	}
	return "", true
}

// Ready returns why callers should not be routed to this daemon, or an empty string if
// they may be.
func (c *Controller) Ready() string {
	if _, ok := c.Accepting(); !ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.refusesCallers || c.leaving:
			return "leaving"
		case c.versionedConfig.Version == 0:
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

// Dispatcher returns the dispatcher of a target, or false if this daemon has none.
func (c *Controller) Dispatcher(target string) (http.Handler, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.grantManagers[target]
	if !ok || m.dispatcher == nil {
		return nil, false
	}
	return m.dispatcher, true
}

// Holder returns the daemon that most likely dispatches a target, or false if none is
// known.
func (c *Controller) Holder(target string) (fulmarslot.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holderLocked(target, time.Now())
}

// holderLocked returns the daemon that reports that it holds the target, else the one
// named by the last not-holder answer, else the one that ranks first. mu must be held.
func (c *Controller) holderLocked(target string, now time.Time) (fulmarslot.Member, bool) {
	if m, ok := c.grantManagers[target]; ok && m.holdsTarget {
		return c.Self, true
	}
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		if c.detector.State(now, p.ID) != fulmarmember.Down && slices.Contains(p.status.HeldTargets, target) {
			return peerMember(p), true
		}
	}
	if p, ok := c.peers[c.holderHints[target]]; ok && c.detector.State(now, p.ID) == fulmarmember.Live {
		return peerMember(p), true
	}
	t, ok := c.table.Target(target)
	if !ok {
		return fulmarslot.Member{}, false
	}
	id, ok := c.preferredDispatcher(t, now)
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
	return peerMember(p), true
}

// peerMember returns a peer as a member of the roster.
func peerMember(p *peer) fulmarslot.Member {
	return fulmarslot.Member{
		ID: p.ID, Incarnation: p.Incarnation, ControlAddress: p.Control, DataAddress: p.Data, DataCentre: p.DataCentre,
	}
}

// Down returns a channel that is closed when the member is detected as down, nil if the
// member is not a peer.
func (c *Controller) Down(member string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[member]; ok {
		return p.downSignal
	}
	return nil
}

// Learn records the member that a not-holder answer named as dispatcher of a target.
func (c *Controller) Learn(target, member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.table.Target(target); ok {
		c.holderHints[target] = member
	}
}

// Confirm reports to the planner that an operator confirmed the loss of a member.
func (c *Controller) Confirm(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedLosses[member] = time.Now()
	c.notifyChange()
}

// ClearSuspicion asks the planner to remove the suspect mark of work that has completed.
// Otherwise a later loss that the work didn't cause would condemn it.
func (c *Controller) ClearSuspicion(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.table.Quarantined() {
		if q.Fingerprint == fingerprint && !q.Condemned {
			c.quarantineLifts[fingerprint] = time.Now()
			c.notifyChange()
			c.wakePlanner()
			return
		}
	}
}

// Lift ends the quarantine of a fingerprint here and asks the planner to end it in the
// table.
func (c *Controller) Lift(fingerprint uint64) {
	c.Guard.Lift(fingerprint)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantineLifts[fingerprint] = time.Now()
	c.notifyChange()
}

// Leave announces that this daemon is leaving and waits until it holds no target or ctx
// is done.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.notifyChange()
	for _, m := range c.grantManagers {
		m.wake()
	}
	c.mu.Unlock()
	for c.HeldTargetCount() > 0 && fulmarclock.Sleep(ctx, monitorInterval) {
	}
}

// RefuseCallers makes this daemon refuse all further requests of callers.
func (c *Controller) RefuseCallers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusesCallers = true
}

// HeldTargetCount returns the number of targets that this daemon dispatches.
func (c *Controller) HeldTargetCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.grantManagers {
		if m.holdsTarget {
			n++
		}
	}
	return n
}

// runLoads periodically queues the loads of the dispatchers for the planner.
func (c *Controller) runLoads(ctx context.Context) {
	for fulmarclock.Sleep(ctx, loadInterval) {
		c.mu.Lock()
		var dispatchers []Dispatcher
		for _, m := range c.grantManagers {
			if m.dispatcher != nil {
				dispatchers = append(dispatchers, m.dispatcher)
			}
		}
		c.mu.Unlock()
		for _, d := range dispatchers {
			for _, l := range d.Loads() {
				c.addLoadReport(fulmarwire.SlotLoad(l))
			}
		}
	}
}

// addLoadReport queues a load report for the planner, or drops it if the queue is full.
// Loads are hints, and the next report follows within a second.
func (c *Controller) addLoadReport(l fulmarwire.SlotLoad) {
	if !c.loadReports.TryPut(l) {
		c.Counter.Count("load_dropped")
	}
}

// drainLoadReports removes and returns the queued load reports.
func (c *Controller) drainLoadReports() []fulmarwire.SlotLoad {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // so that Get doesn't wait when the queue is empty
	var out []fulmarwire.SlotLoad
	for {
		l, ok := c.loadReports.Get(ctx)
		if !ok {
			return out
		}
		out = append(out, l)
	}
}

// decodeEpoch returns the epoch of an encoded table.
func decodeEpoch(raw []byte) (uint64, error) {
	table, err := fulmarslot.Decode(raw)
	return table.Epoch(), err
}
