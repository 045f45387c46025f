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
	pullTimeout   = time.Second
	monitorPeriod = 50 * time.Millisecond
	// A monitor tick that is late by more than this means that the process
	// itself was paused, so that silence of peers says nothing about them.
	monitorLate       = 200 * time.Millisecond
	discoveryInterval = 2 * time.Second
)

// peer is one other daemon.
type peer struct {
	fulmarmember.Peer
	beat   *fulmarpeer.Client // heartbeats only, so that they never wait for larger messages
	bulk   *fulmarpeer.Client
	kick   chan struct{}
	cancel context.CancelFunc
	down   chan struct{} // closed while the peer is down
	status fulmarwire.Status
	heard  time.Time // when status was received
}

func (p *peer) close() {
	p.cancel()
	p.beat.Close()
	p.bulk.Close()
}

// learnPeer starts to contact a daemon, or its newer incarnation; mu must be held.
func (c *Controller) learnPeer(ctx context.Context, m fulmarslot.Member) {
	if m.ID == c.Self.ID || m.ControlAddress == "" {
		return
	}
	known, ok := c.peers[m.ID]
	if ok && (known.Incarnation >= m.Incarnation || known.Control == m.ControlAddress) {
		known.Incarnation = max(known.Incarnation, m.Incarnation)
		return
	}
	if ok {
		known.close()
	}
	beat, err := fulmarpeer.NewClient(m.ControlAddress, c.Source, c.Key)
	if err != nil {
		c.Log.Error("peer client", "peer", m.ID, "error", err)
		return
	}
	bulk, err := fulmarpeer.NewClient(m.ControlAddress, c.Source, c.Key)
	if err != nil {
		c.Log.Error("peer client", "peer", m.ID, "error", err)
		return
	}
	beat.Count(c.Traffic)
	bulk.Count(c.Traffic)
	p := &peer{
		Peer: fulmarmember.Peer{
			ID: m.ID, Incarnation: m.Incarnation, Control: m.ControlAddress, Data: m.DataAddress, DataCentre: m.DataCentre,
		},
		beat: beat, bulk: bulk, kick: make(chan struct{}, 1), down: make(chan struct{}),
	}
	var peerCtx context.Context
	peerCtx, p.cancel = context.WithCancel(ctx)
	c.peers[m.ID] = p
	c.view.Add(p.Peer)
	c.followDown(time.Now())
	c.group.Go(func() { c.runPeer(peerCtx, p) })
}

// runPeer exchanges heartbeats with one peer.
func (c *Controller) runPeer(ctx context.Context, p *peer) {
	// The first pull tells the peer how to reach this daemon.
	if err := c.pull(ctx, p.bulk); err != nil {
		c.Log.Debug("peer does not answer", "peer", p.ID, "error", err)
	}
	ticker := time.NewTicker(c.Timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		c.beat(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-p.kick:
		case <-ticker.C:
		}
	}
}

func (c *Controller) beat(ctx context.Context, p *peer) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.DownTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := p.beat.Heartbeat(callCtx, c.status(p.ID))
	if err != nil {
		p.beat.Close()
		c.Counter.Count("heartbeat_failed")
		return
	}
	if c.behind(reply) {
		if err := c.pull(ctx, p.bulk); err != nil {
			c.Log.Warn("pull failed", "peer", p.ID, "error", err)
		}
	}
	c.observe(reply, sent)
}

// behind reports whether the peer has a newer table or configuration.
func (c *Controller) behind(s *fulmarwire.Status) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.Epoch > c.table.Epoch() || s.Config > c.versioned.Version
}

// observe takes in a peer's status. sent is when the question was sent to
// which the status is the answer, or zero for a heartbeat that the peer sent.
func (c *Controller) observe(s *fulmarwire.Status, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p, ok := c.peers[s.ID]
	if !ok {
		return
	}
	before := c.view.State(now, s.ID)
	if s.Incarnation >= p.Incarnation {
		p.Incarnation = s.Incarnation
	}
	observed := p.Peer
	observed.Leaving = s.Leaving
	if !c.view.Observe(now, observed) || s.Incarnation < p.Incarnation {
		return
	}
	losses := len(s.Losses) != len(p.status.Losses) || len(s.Releases) != len(p.status.Releases)
	newer := s.Epoch > p.status.Epoch
	p.status, p.heard = *s, now
	p.follow(c.view.State(now, s.ID))
	if !sent.IsZero() && s.Epoch <= c.table.Epoch() && c.rosterIncarnation(s.ID) == s.Incarnation {
		c.lease.Confirm(s.ID, sent)
		c.held(now)
	}
	for _, l := range s.Loads {
		c.takeLoad(l)
	}
	if before != c.view.State(now, s.ID) || losses || newer {
		c.notify()
	}
}

func (c *Controller) rosterIncarnation(id string) uint64 {
	i, ok := slices.BinarySearchFunc(c.table.Roster(), id, func(m fulmarslot.Member, id string) int {
		return strings.Compare(m.ID, id)
	})
	if !ok {
		return 0
	}
	return c.table.Roster()[i].Incarnation
}

// pull fetches newer versions from a peer and adopts them.
func (c *Controller) pull(ctx context.Context, client *fulmarpeer.Client) error {
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	bundle, err := client.Pull(callCtx, c.want())
	if err != nil {
		return err
	}
	return c.adopt(ctx, bundle)
}

func (c *Controller) want() *fulmarwire.Want {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &fulmarwire.Want{From: wireMember(c.Self), Epoch: c.table.Epoch(), Config: c.versioned.Version}
}

func wireMember(m fulmarslot.Member) fulmarwire.Member {
	return fulmarwire.Member{ID: m.ID, Incarnation: m.Incarnation, Control: m.ControlAddress, Data: m.DataAddress, DC: m.DataCentre}
}

func slotMember(m fulmarwire.Member) fulmarslot.Member {
	return fulmarslot.Member{ID: m.ID, Incarnation: m.Incarnation, ControlAddress: m.Control, DataAddress: m.Data, DataCentre: m.DC}
}

// adopt takes over what a bundle brings.
func (c *Controller) adopt(ctx context.Context, b *fulmarwire.Bundle) error {
	c.mu.Lock()
	for _, m := range b.Members {
		c.learnPeer(ctx, slotMember(m))
	}
	c.mu.Unlock()
	if len(b.Config) > 0 {
		if err := c.adoptConfig(b.Config); err != nil {
			return err
		}
	}
	if len(b.Table) > 0 {
		return c.adoptTable(ctx, b.Table)
	}
	return nil
}

// status returns what this daemon tells the peer.
func (c *Controller) status(to string) *fulmarwire.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statusLocked(to)
}

func (c *Controller) statusLocked(to string) *fulmarwire.Status {
	now := time.Now()
	s := &fulmarwire.Status{
		ID:          c.Self.ID,
		Incarnation: c.Self.Incarnation,
		Leaving:     c.leaving,
		Planner:     now.Before(c.plannerTo),
		Epoch:       c.table.Epoch(),
		Config:      c.versioned.Version,
	}
	for id, k := range c.keepers {
		if k.holding {
			s.Held = append(s.Held, id)
		}
	}
	slices.Sort(s.Held)
	// An epoch without the lapses that go with it would let a planner that this
	// daemon does not know as such yet end a forced move too early.
	s.Lapses = make(map[string]time.Duration)
	for id, until := range c.movingLapses() {
		s.Lapses[id] = until.Sub(now)
	}
	s.Sent = c.movingSent(now)
	if p, ok := c.peers[to]; ok && p.status.Planner {
		c.addReports(s)
	}
	return s
}

// addReports adds what only the planner needs; mu must be held.
func (c *Controller) addReports(s *fulmarwire.Status) {
	for _, k := range c.keepers {
		if k.lost {
			s.Losses = append(s.Losses, fulmarwire.Loss{Target: k.id, Suspects: k.suspects})
		}
		s.Releases = append(s.Releases, k.releases...)
	}
	s.Loads = c.drainLoads()
	for id := range c.confirm {
		s.Confirm = append(s.Confirm, id)
	}
	for fingerprint := range c.lift {
		s.Lift = append(s.Lift, fingerprint)
	}
}

// movingLapses returns for each target until when a grant for slots that move
// away from it may last; targets without such a grant are left out. mu must be held.
func (c *Controller) movingLapses() map[string]time.Time {
	out := make(map[string]time.Time)
	var slots []int
	now := time.Now()
	for id, log := range c.lapses {
		slots = c.table.MovingFrom(slots[:0], id)
		if until := log.until(slots); until.After(now) {
			out[id] = until
		}
	}
	return out
}

// movingSent returns the targets with slots that move away to which this
// daemon has sent a grant lately; mu must be held.
func (c *Controller) movingSent(now time.Time) []string {
	var out []string
	for id, log := range c.lapses {
		if _, away, _ := c.table.SlotCounts(id); away > 0 && log.sent(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// runMonitor watches for changes that only time brings: peers that fall
// silent, and a pause of this process itself.
func (c *Controller) runMonitor(ctx context.Context) {
	last := time.Now()
	live := 0
	for fulmarclock.Sleep(ctx, monitorPeriod) {
		c.mu.Lock()
		now := time.Now()
		if now.Sub(last) > monitorPeriod+monitorLate {
			c.Log.Warn("process was paused", "gap", now.Sub(last))
			c.Counter.Count("pause")
			for _, p := range c.peers {
				if last.Sub(p.heard) < c.Timing.DownTimeout {
					c.view.Observe(now, p.Peer)
				}
			}
		}
		last = now
		c.held(now)
		if n := len(c.view.Live(nil, now)); n != live {
			c.Log.Info("live peers changed", "live", n, "before", live)
			live = n
			c.notify()
			for _, k := range c.keepers {
				k.wake() // a takeover must not wait for the next tick
			}
		}
		c.followDown(now)
		c.mu.Unlock()
	}
}

// followDown closes the channels of peers that are down and opens new ones for
// those that are back; mu must be held.
func (c *Controller) followDown(now time.Time) {
	for id, p := range c.peers {
		p.follow(c.view.State(now, id))
	}
}

func (p *peer) follow(state fulmarmember.State) {
	select {
	case <-p.down:
		if state != fulmarmember.Down {
			p.down = make(chan struct{})
		}
	default:
		if state == fulmarmember.Down {
			close(p.down)
		}
	}
}

// runDiscovery looks for peers in the catalog and the seeds while this daemon
// has no table or no live peer.
func (c *Controller) runDiscovery(ctx context.Context) {
	for {
		if c.lonely() {
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

func (c *Controller) lonely() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	inRoster := c.rosterIncarnation(c.Self.ID) == c.Self.Incarnation
	return !inRoster || len(c.view.Live(nil, time.Now())) == 0
}

func (c *Controller) discover(ctx context.Context) {
	nodes, err := c.Store.Nodes(ctx, catalogInstances)
	c.noteStore(err)
	c.mu.Lock()
	for _, n := range nodes {
		c.learnPeer(ctx, fulmarslot.Member{
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
	client.Count(c.Traffic)
	defer client.Close()
	if err := c.pull(ctx, client); err != nil {
		c.Log.Debug("seed does not answer", "address", address, "error", err)
	}
}
