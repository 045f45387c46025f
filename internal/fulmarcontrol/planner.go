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
	plannerTick     = 50 * time.Millisecond
	catalogInterval = 500 * time.Millisecond
	probeTimeout    = 200 * time.Millisecond
	storeRetry      = 200 * time.Millisecond
	requestLife     = 10 * time.Second // of an operator's request that waits for the planner
)

// planner is the state of the planner loop while this daemon is elected.
type planner struct {
	core    *fulmarplan.Planner
	index   uint64 // of the table in the key-value service
	listed  []fulmarslot.Target
	listing time.Time
	fenced  map[string]bool // by target, as it said itself
}

func (c *Controller) policy() fulmarplan.Policy {
	return fulmarplan.Policy{
		MaxMoving:         c.config.MaxMoving(),
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

func (c *Controller) kickPlanner() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
	for _, p := range c.peers {
		if p.status.Planner {
			select {
			case p.kick <- struct{}{}:
			default:
			}
		}
	}
}

// runPlanner plans while this daemon holds the planner's lease.
func (c *Controller) runPlanner(ctx context.Context) {
	var p *planner
	ticker := time.NewTicker(plannerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.kick:
		}
		if !c.IsPlanner() {
			p = nil
			continue
		}
		if p == nil {
			p = c.newPlanner(ctx)
		}
		if p != nil && !c.plan(ctx, p) {
			p = nil
			if !fulmarclock.Sleep(ctx, storeRetry/2+rand.N(storeRetry)) {
				return
			}
		}
	}
}

// Planning reports whether this daemon is the planner.
func (c *Controller) IsPlanner() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.plannerTo)
}

// newPlanner reads the table as it is in the key-value service and adopts it.
// It returns nil if the service does not answer or there is no configuration.
func (c *Controller) newPlanner(ctx context.Context) *planner {
	c.mu.Lock()
	ready := c.versioned.Version > 0
	policy := c.policy()
	c.mu.Unlock()
	if !ready {
		return nil
	}
	p := &planner{core: fulmarplan.New(policy, c.Self.Incarnation), fenced: make(map[string]bool)}
	if !c.readTable(ctx, p) {
		return nil
	}
	return p
}

// readTable adopts the stored table and notes its index; it creates the first table.
func (c *Controller) readTable(ctx context.Context, p *planner) bool {
	value, err := c.Store.Get(ctx, keyTable)
	if errors.Is(err, fulmarstore.ErrNotFound) {
		return c.createTable(ctx, p)
	}
	c.noteStore(err)
	if err != nil {
		return false
	}
	stored, err := fulmarslot.Decode(value.Data)
	if err != nil {
		c.Log.Error("stored table is not valid", "error", err)
		return false
	}
	c.mu.Lock()
	own := c.table.Epoch()
	c.mu.Unlock()
	if stored.Epoch() < own {
		// The service has lost writes; going on from its table would reuse epochs.
		c.Log.Error("stored table is older than the one in force", "stored", stored.Epoch(), "epoch", own)
		c.Counter.Count("store_reverted")
		return false
	}
	p.index = value.Index
	return c.adoptTable(ctx, value.Data) == nil
}

func (c *Controller) createTable(ctx context.Context, p *planner) bool {
	c.mu.Lock()
	table := fulmarslot.New(c.services())
	own := c.table.Epoch()
	c.mu.Unlock()
	if own > 0 {
		c.Counter.Count("store_reverted")
		return false
	}
	raw, err := table.MarshalBinary()
	if err != nil {
		c.Log.Error("table can't be encoded", "error", err)
		return false
	}
	if err := c.Store.Put(ctx, keyTable, raw, 0); err != nil {
		c.noteStore(err)
		return false
	}
	return c.readTable(ctx, p)
}

// services returns the number of slots by service; mu must be held.
func (c *Controller) services() map[string]int {
	out := make(map[string]int)
	for _, s := range c.config.Services() {
		out[s.Name] = s.Slots
	}
	return out
}

// plan makes one step and reports whether the planner may go on from its state.
func (c *Controller) plan(ctx context.Context, p *planner) bool {
	c.refreshTargets(ctx, p)
	in := c.planInput(p)
	out := p.core.Step(time.Now(), in)
	if len(out.Changes) == 0 {
		return true
	}
	next, err := in.Table.With(out.Changes...)
	if err != nil {
		c.Log.Error("planned change is not valid", "error", err, "reasons", out.Reasons)
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
	if err := c.Store.Put(ctx, keyTable, raw, p.index); err != nil {
		c.noteStore(err)
		c.Log.Warn("table not written", "epoch", next.Epoch(), "error", err)
		c.Counter.Count("table_write_failed")
		// A lost answer may hide a write that took effect: reading back decides.
		return false
	}
	c.Counter.Count("table_written")
	c.Log.Info("table written", "epoch", next.Epoch(), "changes", len(out.Changes), "reasons", out.Reasons)
	if err := c.adoptTable(ctx, raw); err != nil {
		c.Log.Error("written table is not valid", "epoch", next.Epoch(), "error", err)
		return false
	}
	// Peers need not wait for the read that brings the index of the next write.
	c.push(ctx)
	return c.readTable(ctx, p)
}

// push sends the table to all live peers and takes in their acknowledgements.
// It waits for the answers only as long as a heartbeat lasts: a peer that is
// frozen must not hold up the others.
func (c *Controller) push(ctx context.Context) {
	c.mu.Lock()
	bundle := &fulmarwire.Bundle{Table: c.tableRaw, Members: []fulmarwire.Member{wireMember(c.Self)}}
	var targets []*peer
	for _, live := range c.view.Live(nil, time.Now()) {
		if p, ok := c.peers[live.ID]; ok {
			targets = append(targets, p)
		}
	}
	c.mu.Unlock()
	var group sync.WaitGroup
	for _, p := range targets {
		group.Go(func() { c.pushTo(ctx, p, bundle) })
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

func (c *Controller) pushTo(ctx context.Context, p *peer, bundle *fulmarwire.Bundle) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.DownTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := p.bulk.Push(callCtx, bundle)
	if err != nil {
		p.bulk.Close()
		c.Counter.Count("push_failed")
		return
	}
	c.observe(reply, sent)
}

// refreshTargets reads the platform's list now and then, and asks targets
// that are not in the table yet whether they check fences.
func (c *Controller) refreshTargets(ctx context.Context, p *planner) {
	if time.Since(p.listing) < catalogInterval {
		return
	}
	p.listing = time.Now()
	nodes, err := c.Store.Nodes(ctx, catalogTargets)
	c.noteStore(err)
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
		if known, ok := table.Target(t.ID); ok && known.Address == t.Address {
			t.Fenced = known.Fenced
			t.Dispatcher = known.Dispatcher
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
	p.listed = listed
}

func (c *Controller) probeTarget(ctx context.Context, t fulmarslot.Target) (fenced, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := c.Targets.State(callCtx, t.Address)
	return state.Fenced, err == nil && state.Service == t.Service && state.Target == t.ID
}

// planInput gathers what is known; mu must not be held.
func (c *Controller) planInput(p *planner) fulmarplan.Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	in := fulmarplan.Input{
		Table:        c.table,
		Services:     c.services(),
		Targets:      p.listed,
		DrainTargets: c.config.Drained(),
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
		if peer.heard.IsZero() {
			continue
		}
		in.Acks[id] = peerAck(peer)
		if now.Sub(peer.heard) <= c.Timing.DownTimeout {
			addReports(&in, peer.status.Losses, peer.status.Releases)
		}
		in.ConfirmedLost = append(in.ConfirmedLost, peer.status.Confirm...)
		in.LiftFingerprints = append(in.LiftFingerprints, peer.status.Lift...)
	}
	for _, k := range c.keepers {
		if k.lost {
			addReports(&in, []fulmarwire.Loss{{Target: k.id, Suspects: k.suspects}}, nil)
		}
		addReports(&in, nil, k.releases)
	}
	c.expireRequests(now)
	for id := range c.confirm {
		in.ConfirmedLost = append(in.ConfirmedLost, id)
	}
	for fingerprint := range c.lift {
		in.LiftFingerprints = append(in.LiftFingerprints, fingerprint)
	}
	for _, l := range c.drainLoads() {
		in.Loads = append(in.Loads, fulmarplan.Load(l))
	}
	return in
}

// expireRequests drops operators' requests that the planner had time to act on; mu must be held.
func (c *Controller) expireRequests(now time.Time) {
	for id, at := range c.confirm {
		if now.Sub(at) > requestLife {
			delete(c.confirm, id)
		}
	}
	for fingerprint, at := range c.lift {
		if now.Sub(at) > requestLife {
			delete(c.lift, fingerprint)
		}
	}
}

func (c *Controller) ownAck() fulmarplan.Ack {
	return fulmarplan.Ack{
		Epoch: c.table.Epoch(), Incarnation: c.Self.Incarnation, GrantExpiry: c.movingLapses(), GrantSent: set(c.movingSent(time.Now())),
	}
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

func peerAck(p *peer) fulmarplan.Ack {
	ack := fulmarplan.Ack{
		Epoch: p.status.Epoch, Incarnation: p.status.Incarnation, GrantExpiry: make(map[string]time.Time), GrantSent: set(p.status.Sent),
	}
	for target, remaining := range p.status.Lapses {
		ack.GrantExpiry[target] = p.heard.Add(remaining)
	}
	return ack
}

func addReports(in *fulmarplan.Input, losses []fulmarwire.Loss, releases []fulmarwire.Release) {
	for _, l := range losses {
		in.Losses = append(in.Losses, fulmarplan.Loss(l))
	}
	for _, r := range releases {
		in.Releases = append(in.Releases, fulmarplan.Release(r))
	}
}
