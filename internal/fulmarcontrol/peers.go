package fulmarcontrol

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarpeer"
	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	pullTimeout     = time.Second
	monitorInterval = 50 * time.Millisecond
	// maxMonitorDelay is the delay of a monitor tick above which the process is
	// taken to have been paused. Missing heartbeats during a pause don't indicate
	// that the peers are down.
	maxMonitorDelay   = 200 * time.Millisecond
	discoveryInterval = 2 * time.Second
)

// peer is the connection to another daemon and its last reported status.
type peer struct {
	fulmarmember.Peer
	heartbeatClient *fulmarpeer.Client // for heartbeats only, so that they never wait for larger messages
	bulkClient      *fulmarpeer.Client // for all other calls
	heartbeatNow    chan struct{}      // requests a heartbeat before the next tick
	cancel          context.CancelFunc
	downSignal      chan struct{} // closed while the peer is down, replaced when it is live again
	status          fulmarwire.Status
	statusReceived  time.Time // when status was received
}

// close ends the heartbeat loop and closes the connections.
func (p *peer) close() {
	p.cancel()
	p.heartbeatClient.Close()
	p.bulkClient.Close()
}

// addPeer starts the heartbeats to a daemon, or restarts them if a newer incarnation
// has another address; mu must be held.
func (c *Controller) addPeer(ctx context.Context, m fulmarslot.Member) {
	if m.ID == c.Self.ID || m.ControlAddress == "" {
		return
	}
	existing, ok := c.peers[m.ID]
	if ok && (existing.Incarnation >= m.Incarnation || existing.Control == m.ControlAddress) {
		existing.Incarnation = max(existing.Incarnation, m.Incarnation)
		return
	}
	if ok {
		existing.close()
	}
	heartbeatClient, err := fulmarpeer.NewClient(m.ControlAddress, c.Source, c.Key)
	if err != nil {
		c.Log.Error("can't create client of peer", "peer", m.ID, "error", err)
		return
	}
	bulkClient, err := fulmarpeer.NewClient(m.ControlAddress, c.Source, c.Key)
	if err != nil {
		c.Log.Error("can't create client of peer", "peer", m.ID, "error", err)
		return
	}
	heartbeatClient.CountTraffic(c.Traffic)
	bulkClient.CountTraffic(c.Traffic)
	p := &peer{
		Peer: fulmarmember.Peer{
			ID: m.ID, Incarnation: m.Incarnation, Control: m.ControlAddress, Data: m.DataAddress, DataCentre: m.DataCentre,
		},
		heartbeatClient: heartbeatClient, bulkClient: bulkClient, heartbeatNow: make(chan struct{}, 1), downSignal: make(chan struct{}),
	}
	var peerCtx context.Context
	peerCtx, p.cancel = context.WithCancel(ctx)
	c.peers[m.ID] = p
	c.detector.Add(p.Peer)
	c.updateDownSignals(time.Now())
	c.loops.Go(func() { c.runHeartbeats(peerCtx, p) })
}

// runHeartbeats exchanges heartbeats with one peer until ctx is done.
func (c *Controller) runHeartbeats(ctx context.Context, p *peer) {
	// The first pull sends the address of this daemon to the peer.
	if err := c.pull(ctx, p.bulkClient); err != nil {
		c.Log.Debug("first pull from peer failed", "peer", p.ID, "error", err)
	}
	ticker := time.NewTicker(c.Timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		c.sendHeartbeat(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-p.heartbeatNow:
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat, pulls newer versions that the answer announces,
// and then records the answer.
func (c *Controller) sendHeartbeat(ctx context.Context, p *peer) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.DownTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := p.heartbeatClient.Heartbeat(callCtx, c.status(p.ID))
	if err != nil {
		p.heartbeatClient.Close()
		c.Counter.Count("heartbeat_failed")
		return
	}
	if c.isBehind(reply) {
		if err := c.pull(ctx, p.bulkClient); err != nil {
			c.Log.Warn("pull from peer failed", "peer", p.ID, "error", err)
		}
	}
	c.recordStatus(reply, sent)
}

// isBehind reports whether the peer has a newer table or configuration.
func (c *Controller) isBehind(s *fulmarwire.Status) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.Epoch > c.table.Epoch() || s.ConfigVersion > c.versionedConfig.Version
}

// recordStatus records the status of a peer. sent is when the request that the
// status answers was sent, zero if the peer sent the status in a request of its own.
func (c *Controller) recordStatus(s *fulmarwire.Status, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p, ok := c.peers[s.ID]
	if !ok {
		return
	}
	previous := c.detector.State(now, s.ID)
	if s.Incarnation >= p.Incarnation {
		p.Incarnation = s.Incarnation
	}
	observed := p.Peer
	observed.Leaving = s.Leaving
	if !c.detector.Observe(now, observed) || s.Incarnation < p.Incarnation {
		return
	}
	reportsChanged := len(s.Losses) != len(p.status.Losses) || len(s.Releases) != len(p.status.Releases)
	newerEpoch := s.Epoch > p.status.Epoch
	p.status, p.statusReceived = *s, now
	p.updateDownSignal(c.detector.State(now, s.ID))
	if !sent.IsZero() && s.Epoch <= c.table.Epoch() && c.rosterIncarnation(s.ID) == s.Incarnation {
		c.lease.Confirm(s.ID, sent)
		c.updateLease(now)
	}
	for _, l := range s.Loads {
		c.addLoadReport(l)
	}
	if previous != c.detector.State(now, s.ID) || reportsChanged || newerEpoch {
		c.notifyChange()
	}
}

// rosterIncarnation returns the incarnation of a member in the roster, zero if it is
// not in the roster; mu must be held.
func (c *Controller) rosterIncarnation(id string) uint64 {
	i, ok := slices.BinarySearchFunc(c.table.Roster(), id, func(m fulmarslot.Member, id string) int {
		return strings.Compare(m.ID, id)
	})
	if !ok {
		return 0
	}
	return c.table.Roster()[i].Incarnation
}

// pull fetches a newer table and configuration from a peer and applies them.
func (c *Controller) pull(ctx context.Context, client *fulmarpeer.Client) error {
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	bundle, err := client.Pull(callCtx, c.versionsHeld())
	if err != nil {
		return err
	}
	return c.applyBundle(ctx, bundle)
}

// versionsHeld returns the request of a pull, with the epoch and version in force here.
func (c *Controller) versionsHeld() *fulmarwire.PullRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &fulmarwire.PullRequest{From: toWireMember(c.Self), Epoch: c.table.Epoch(), ConfigVersion: c.versionedConfig.Version}
}

func toWireMember(m fulmarslot.Member) fulmarwire.Member {
	return fulmarwire.Member{ID: m.ID, Incarnation: m.Incarnation, ControlAddress: m.ControlAddress, DataAddress: m.DataAddress, DataCentre: m.DataCentre}
}

func toSlotMember(m fulmarwire.Member) fulmarslot.Member {
	return fulmarslot.Member{ID: m.ID, Incarnation: m.Incarnation, ControlAddress: m.ControlAddress, DataAddress: m.DataAddress, DataCentre: m.DataCentre}
}

// applyBundle adds the members of a bundle as peers and applies its configuration
// and table.
func (c *Controller) applyBundle(ctx context.Context, b *fulmarwire.Update) error {
	c.mu.Lock()
	for _, m := range b.Members {
		c.addPeer(ctx, toSlotMember(m))
	}
	c.mu.Unlock()
	if len(b.Config) > 0 {
		if err := c.applyConfig(b.Config); err != nil {
			return err
		}
	}
	if len(b.Table) > 0 {
		return c.applyTable(ctx, b.Table)
	}
	return nil
}

// status returns the status that is sent to the peer with the id to.
func (c *Controller) status(to string) *fulmarwire.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statusLocked(to)
}

func (c *Controller) statusLocked(to string) *fulmarwire.Status {
	now := time.Now()
	s := &fulmarwire.Status{
		ID:            c.Self.ID,
		Incarnation:   c.Self.Incarnation,
		Leaving:       c.leaving,
		IsPlanner:     now.Before(c.plannerLeaseExpiry),
		Epoch:         c.table.Epoch(),
		ConfigVersion: c.versionedConfig.Version,
	}
	for id, m := range c.grantManagers {
		if m.holdsTarget {
			s.HeldTargets = append(s.HeldTargets, id)
		}
	}
	slices.Sort(s.HeldTargets)
	// The expiries go to every peer: a planner that this daemon doesn't know as the
	// planner yet would take an acknowledged epoch without expiries to mean that no
	// grant is in force, and would end a forced move too early.
	s.GrantRemaining = make(map[string]time.Duration)
	for id, expiry := range c.movingGrantExpiries() {
		s.GrantRemaining[id] = expiry.Sub(now)
	}
	s.GrantSentTargets = c.movingTargetsWithRecentGrants(now)
	if p, ok := c.peers[to]; ok && p.status.IsPlanner {
		c.addPlannerReports(s)
	}
	return s
}

// addPlannerReports adds the reports that only the planner needs; mu must be held.
func (c *Controller) addPlannerReports(s *fulmarwire.Status) {
	for _, m := range c.grantManagers {
		if m.targetLost {
			s.Losses = append(s.Losses, fulmarwire.TargetLoss{Target: m.id, Suspects: m.suspects})
		}
		s.Releases = append(s.Releases, m.releases...)
	}
	s.Loads = c.drainLoadReports()
	for id := range c.confirmedLosses {
		s.ConfirmedLost = append(s.ConfirmedLost, id)
	}
	for fingerprint := range c.quarantineLifts {
		s.LiftedFingerprints = append(s.LiftedFingerprints, fingerprint)
	}
}

// movingGrantExpiries returns the latest expiry, by target, of grants for slots that
// move away from the target. Targets without such a grant are omitted. mu must be held.
func (c *Controller) movingGrantExpiries() map[string]time.Time {
	out := make(map[string]time.Time)
	var slots []int
	now := time.Now()
	for id, log := range c.grantExpiries {
		slots = c.table.MovingFrom(slots[:0], id)
		if expiry := log.latestExpiry(slots); expiry.After(now) {
			out[id] = expiry
		}
	}
	return out
}

// movingTargetsWithRecentGrants returns the targets with slots that move away to
// which this daemon recently sent a grant; mu must be held.
func (c *Controller) movingTargetsWithRecentGrants(now time.Time) []string {
	var out []string
	for id, log := range c.grantExpiries {
		if _, away, _ := c.table.SlotCounts(id); away > 0 && log.grantedRecently(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// runMonitor periodically checks for conditions that no message reports: peers that
// stop sending heartbeats, the expiry of the quorum lease, and a pause of this process.
func (c *Controller) runMonitor(ctx context.Context) {
	last := time.Now()
	live := 0
	for fulmarclock.Sleep(ctx, monitorInterval) {
		c.mu.Lock()
		now := time.Now()
		if now.Sub(last) > monitorInterval+maxMonitorDelay {
			c.Log.Warn("process was paused", "gap", now.Sub(last))
			c.Counter.Count("pause")
			for _, p := range c.peers {
				if last.Sub(p.statusReceived) < c.Timing.DownTimeout {
					c.detector.Observe(now, p.Peer)
				}
			}
		}
		last = now
		c.updateLease(now)
		if n := len(c.detector.Live(nil, now)); n != live {
			c.Log.Info("live peers changed", "live", n, "before", live)
			live = n
			c.notifyChange()
			for _, m := range c.grantManagers {
				m.wake() // start takeovers without waiting for the next tick
			}
		}
		c.updateDownSignals(now)
		c.mu.Unlock()
	}
}

// updateDownSignals closes the down signals of peers that are down and replaces
// those of peers that are back; mu must be held.
func (c *Controller) updateDownSignals(now time.Time) {
	for id, p := range c.peers {
		p.updateDownSignal(c.detector.State(now, id))
	}
}

// updateDownSignal closes or replaces the down signal according to the state of the peer.
func (p *peer) updateDownSignal(state fulmarmember.State) {
	select {
	case <-p.downSignal:
		if state != fulmarmember.Down {
			p.downSignal = make(chan struct{})
		}
	default:
		if state == fulmarmember.Down {
			close(p.downSignal)
		}
	}
}

// runDiscovery searches for peers in the catalog and among the seeds while this
// daemon is not in the roster or has no live peer.
func (c *Controller) runDiscovery(ctx context.Context) {
	for {
		if c.needsDiscovery() {
			c.discover(ctx)
		}
		wait := discoveryInterval
		if !c.HasTableAndConfig() {
			wait /= 10
		}
		wait += rand.N(wait / 4)
		if !fulmarclock.Sleep(ctx, wait) {
			return
		}
	}
}

// needsDiscovery reports whether this daemon is not in the roster or has no live peer.
func (c *Controller) needsDiscovery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	inRoster := c.rosterIncarnation(c.Self.ID) == c.Self.Incarnation
	return !inRoster || len(c.detector.Live(nil, time.Now())) == 0
}

// discover adds the peers of the catalog and pulls from every seed.
func (c *Controller) discover(ctx context.Context) {
	nodes, err := c.Store.Nodes(ctx, catalogInstances)
	c.recordStoreResult(err)
	c.mu.Lock()
	for _, n := range nodes {
		c.addPeer(ctx, fulmarslot.Member{
			ID: n.ID, ControlAddress: n.Meta["control"], DataAddress: n.Meta["data"], DataCentre: n.DataCentre,
		})
	}
	c.mu.Unlock()
	for _, seed := range c.Seeds {
		c.pullSeed(ctx, seed)
	}
}

func (c *Controller) pullSeed(ctx context.Context, address string) {
	client, err := fulmarpeer.NewClient(address, c.Source, c.Key)
	if err != nil {
		return
	}
	client.CountTraffic(c.Traffic)
	defer client.Close()
	if err := c.pull(ctx, client); err != nil {
		c.Log.Debug("pull from seed failed", "address", address, "error", err)
	}
}
