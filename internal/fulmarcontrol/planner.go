package fulmarcontrol

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	plannerInterval    = 50 * time.Millisecond
	catalogInterval    = 500 * time.Millisecond
	probeTimeout       = 200 * time.Millisecond
	storeRetryDelay    = 200 * time.Millisecond
	operatorRequestTTL = 10 * time.Second // how long a request of an operator waits for the planner
)

// planner is the state of the planner loop while this daemon is elected.
type planner struct {
	core          *fulmarplan.Planner
	tableIndex    uint64              // index of the stored table
	listedTargets []fulmarslot.Target // targets in the catalog, ascending by id
	listedAt      time.Time           // when the catalog was last read
	fencedTargets map[string]bool     // by target, as reported by the target
}

// policy returns the policy of the planner; mu must be held.
func (c *Controller) policy() fulmarplan.Policy {
	return fulmarplan.Policy{
		MaxMoving:         c.config.MaxMovingSlots(),
		LeaseWindow:       c.Timing.LeaseWindow,
		GrantTTL:          c.Timing.GrantTTL,
		OrderTimeout:      c.Timing.MaxOrderDeadline,
		MoveTimeout:       2 * time.Second,
		RebalanceInterval: 10 * time.Second,
		MaxImbalance:      1.15,
		MaxHotKeys:        256,
		QuarantineTTL:     30 * time.Minute,
		DownTimeout:       3 * time.Second,
	}
}

// wakePlanner wakes the local planner loop, and sends a heartbeat to a remote planner at
// once; mu must be held.
func (c *Controller) wakePlanner() {
	select {
	case c.plannerWake <- struct{}{}:
	default:
	}
	for _, p := range c.peers {
		if p.status.IsPlanner {
			select {
			case p.heartbeatNow <- struct{}{}:
			default:
			}
		}
	}
}

// runPlanner plans changes of the table while this daemon holds the planner lease.
func (c *Controller) runPlanner(ctx context.Context) {
	var p *planner
	ticker := time.NewTicker(plannerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.plannerWake:
		}
		if !c.IsPlanner() {
			p = nil
			continue
		}
		if p == nil {
			p = c.newPlanner(ctx)
		}
		if p != nil && !c.planStep(ctx, p) {
			p = nil
			if !fulmarclock.Sleep(ctx, storeRetryDelay/2+rand.N(storeRetryDelay)) {
				return
			}
		}
	}
}

// IsPlanner reports whether this daemon holds the planner lease.
func (c *Controller) IsPlanner() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.plannerLeaseExpiry)
}

// newPlanner reads the stored table, applies it and returns a planner that starts from
// it. It returns nil if this daemon has no configuration or the table can't be read.
func (c *Controller) newPlanner(ctx context.Context) *planner {
	c.mu.Lock()
	ready := c.versionedConfig.Version > 0
	policy := c.policy()
	c.mu.Unlock()
	if !ready {
		return nil
	}
	p := &planner{core: fulmarplan.New(policy, c.Self.Incarnation), fencedTargets: make(map[string]bool)}
	if !c.readTable(ctx, p) {
		return nil
	}
	return p
}

// readTable applies the stored table and records its index. If no table is stored, it
// creates the first one. It reports whether it succeeded.
func (c *Controller) readTable(ctx context.Context, p *planner) bool {
	value, err := c.Store.Get(ctx, keyTable)
	if errors.Is(err, fulmarstore.ErrNotFound) {
		return c.createTable(ctx, p)
	}
	c.recordStoreResult(err)
	if err != nil {
		return false
	}
	stored, err := fulmarslot.Decode(value.Data)
	if err != nil {
		c.Log.Error("stored table is not valid", "error", err)
		return false
	}
	c.mu.Lock()
	current := c.table.Epoch()
	c.mu.Unlock()
	if stored.Epoch() < current {
		// The service has lost writes. Continuing from its table would reuse epochs.
		c.Log.Error("stored table is older than the one in force", "stored", stored.Epoch(), "epoch", current)
		c.Counter.Count("store_reverted")
		return false
	}
	p.tableIndex = value.Index
	return c.applyTable(ctx, value.Data) == nil
}

// createTable stores the first table. It fails if this daemon has a table already,
// because the service has lost writes then.
func (c *Controller) createTable(ctx context.Context, p *planner) bool {
	c.mu.Lock()
	table := fulmarslot.New(c.slotCounts())
	current := c.table.Epoch()
	c.mu.Unlock()
	if current > 0 {
		c.Counter.Count("store_reverted")
		return false
	}
	raw, err := table.MarshalBinary()
	if err != nil {
		c.Log.Error("table can't be encoded", "error", err)
		return false
	}
	if err := c.Store.Put(ctx, keyTable, raw, 0); err != nil {
		c.recordStoreResult(err)
		return false
	}
	return c.readTable(ctx, p)
}

// slotCounts returns the configured number of slots by service; mu must be held.
func (c *Controller) slotCounts() map[string]int {
	out := make(map[string]int)
	for _, s := range c.config.Services() {
		out[s.Name] = s.Slots
	}
	return out
}

// planStep plans changes of the table, stores the changed table and pushes it to the
// peers. It returns false if the planner must be created anew from the stored table.
func (c *Controller) planStep(ctx context.Context, p *planner) bool {
	c.refreshTargets(ctx, p)
	in := c.planInput(p)
	out := p.core.Step(time.Now(), in)
	if len(out.Changes) == 0 {
		return true
	}
	next, err := in.Table.With(out.Changes...)
	if err != nil {
		c.Log.Error("planned change of the table is not valid", "error", err, "reasons", out.Reasons)
		c.Counter.Count("plan_invalid")
		return false
	}
	raw, err := next.MarshalBinary()
	if err != nil {
		c.Log.Error("table can't be encoded", "error", err)
		return false
	}
	if !c.IsPlanner() {
		return false
	}
	if err := c.Store.Put(ctx, keyTable, raw, p.tableIndex); err != nil {
		c.recordStoreResult(err)
		c.Log.Warn("write of table failed", "epoch", next.Epoch(), "error", err)
		c.Counter.Count("table_write_failed")
		// The write may have taken effect although its answer was lost. The next
		// planner reads the stored table.
		return false
	}
	c.Counter.Count("table_written")
	c.Log.Info("table written", "epoch", next.Epoch(), "changes", len(out.Changes), "reasons", out.Reasons)
	if err := c.applyTable(ctx, raw); err != nil {
		c.Log.Error("written table is not valid", "epoch", next.Epoch(), "error", err)
		return false
	}
	// Push before reading back the index for the next write, for which peers need not wait.
	c.pushTable(ctx)
	return c.readTable(ctx, p)
}

// pushTable sends the table to all live peers and records their acknowledgements. It
// waits for the answers for at most one heartbeat interval, so that a frozen peer
// doesn't delay the planner.
func (c *Controller) pushTable(ctx context.Context) {
	c.mu.Lock()
	bundle := &fulmarwire.Update{Table: c.encodedTable, Members: []fulmarwire.Member{toWireMember(c.Self)}}
	var receivers []*peer
	for _, live := range c.detector.Live(nil, time.Now()) {
		if p, ok := c.peers[live.ID]; ok {
			receivers = append(receivers, p)
		}
	}
	c.mu.Unlock()
	var group sync.WaitGroup
	for _, p := range receivers {
		group.Go(func() { c.pushTableTo(ctx, p, bundle) })
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	timer := time.NewTimer(c.Timing.HeartbeatInterval)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pushTableTo sends the bundle to one peer and records its acknowledgement.
func (c *Controller) pushTableTo(ctx context.Context, p *peer, bundle *fulmarwire.Update) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.DownTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := p.bulkClient.Push(callCtx, bundle)
	if err != nil {
		p.bulkClient.Close()
		c.Counter.Count("push_failed")
		return
	}
	c.recordStatus(reply, sent)
}

// refreshTargets reads the targets in the catalog every catalogInterval. It asks targets
// that are not in the table with this address yet whether they check fences.
func (c *Controller) refreshTargets(ctx context.Context, p *planner) {
	if time.Since(p.listedAt) < catalogInterval {
		return
	}
	p.listedAt = time.Now()
	nodes, err := c.Store.Nodes(ctx, catalogTargets)
	c.recordStoreResult(err)
	if err != nil {
		return
	}
	c.mu.Lock()
	table := c.table
	c.mu.Unlock()
	var mu sync.Mutex
	var group sync.WaitGroup
	var listed []fulmarslot.Target
	for _, n := range nodes {
		t := fulmarslot.Target{
			ID: n.ID, Service: n.Meta["service"], Address: n.Address, DataCentre: n.DataCentre,
			Leaving: n.Meta["state"] == "leaving",
		}
		if current, ok := table.Target(t.ID); ok && current.Address == t.Address {
			t.Fenced = current.Fenced
			t.Dispatcher = current.Dispatcher
			listed = append(listed, t)
			continue
		}
		group.Go(func() {
			fenced, ok := c.probeTarget(ctx, t)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			t.Fenced = fenced
			listed = append(listed, t)
		})
	}
	group.Wait()
	slices.SortFunc(listed, func(a, b fulmarslot.Target) int { return strings.Compare(a.ID, b.ID) })
	p.listedTargets = listed
}

// probeTarget asks a target whether it checks fences; ok is false if the target doesn't
// answer or reports another id or service.
func (c *Controller) probeTarget(ctx context.Context, t fulmarslot.Target) (fenced, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := c.Targets.State(callCtx, t.Address)
	return state.Fenced, err == nil && state.Service == t.Service && state.Target == t.ID
}

// planInput returns the input of the next step of the planner; mu must not be held.
func (c *Controller) planInput(p *planner) fulmarplan.Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	in := fulmarplan.Input{
		Table:        c.table,
		Services:     c.slotCounts(),
		Targets:      p.listedTargets,
		DrainTargets: c.config.DrainedTargets(),
		Acks:         map[string]fulmarplan.Ack{c.Self.ID: c.ownAck()},
	}
	if in.Targets == nil {
		in.Targets = c.table.Targets()
	}
	for _, m := range c.liveMembers(now) {
		in.Members = append(in.Members, fulmarslot.Member{
			ID: m.ID, Incarnation: m.Incarnation, ControlAddress: m.Control, DataAddress: m.Data, DataCentre: m.DataCentre,
		})
	}
	for id, peer := range c.peers {
		if peer.statusReceived.IsZero() {
			continue
		}
		in.Acks[id] = peerAck(peer)
		if now.Sub(peer.statusReceived) <= c.Timing.DownTimeout {
			appendReports(&in, peer.status.Losses, peer.status.Releases)
		}
		in.ConfirmedLost = append(in.ConfirmedLost, peer.status.ConfirmedLost...)
		in.LiftFingerprints = append(in.LiftFingerprints, peer.status.LiftedFingerprints...)
	}
	for _, manager := range c.grantManagers {
		if manager.targetLost {
			appendReports(&in, []fulmarwire.TargetLoss{{Target: manager.id, Suspects: manager.suspects}}, nil)
		}
		appendReports(&in, nil, manager.releases)
	}
	c.expireOperatorRequests(now)
	for id := range c.confirmedLosses {
		in.ConfirmedLost = append(in.ConfirmedLost, id)
	}
	for fingerprint := range c.quarantineLifts {
		in.LiftFingerprints = append(in.LiftFingerprints, fingerprint)
	}
	for _, l := range c.drainLoadReports() {
		in.Loads = append(in.Loads, fulmarplan.Load(l))
	}
	return in
}

// expireOperatorRequests drops requests of operators after operatorRequestTTL, within
// which the planner has acted on them; mu must be held.
func (c *Controller) expireOperatorRequests(now time.Time) {
	for id, requested := range c.confirmedLosses {
		if now.Sub(requested) > operatorRequestTTL {
			delete(c.confirmedLosses, id)
		}
	}
	for fingerprint, requested := range c.quarantineLifts {
		if now.Sub(requested) > operatorRequestTTL {
			delete(c.quarantineLifts, fingerprint)
		}
	}
}

// ownAck returns the acknowledgement of this daemon; mu must be held.
func (c *Controller) ownAck() fulmarplan.Ack {
	return fulmarplan.Ack{
		Epoch: c.table.Epoch(), Incarnation: c.Self.Incarnation, GrantExpiry: c.movingGrantExpiries(), GrantSent: stringSet(c.movingTargetsWithRecentGrants(time.Now())),
	}
}

// stringSet returns the set of names.
func stringSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

// peerAck returns the acknowledgement in the last status of a peer.
func peerAck(p *peer) fulmarplan.Ack {
	ack := fulmarplan.Ack{
		Epoch: p.status.Epoch, Incarnation: p.status.Incarnation, GrantExpiry: make(map[string]time.Time), GrantSent: stringSet(p.status.GrantSentTargets),
	}
	for target, remaining := range p.status.GrantRemaining {
		ack.GrantExpiry[target] = p.statusReceived.Add(remaining)
	}
	return ack
}

// appendReports adds reports of losses and releases to the input of the planner.
func appendReports(in *fulmarplan.Input, losses []fulmarwire.TargetLoss, releases []fulmarwire.SlotRelease) {
	for _, l := range losses {
		in.Losses = append(in.Losses, fulmarplan.Loss(l))
	}
	for _, r := range releases {
		in.Releases = append(in.Releases, fulmarplan.Release(r))
	}
}
