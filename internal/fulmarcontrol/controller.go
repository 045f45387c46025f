package fulmarcontrol

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarpeer"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlease"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarring"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// Timing holds the intervals and timeouts of the control loops.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats to a peer
	DownTimeout       time.Duration // time without a heartbeat after which a peer is down
	LeaseWindow       time.Duration // time for which a confirmation of the quorum lease is valid
	GrantTTL          time.Duration // validity of a grant, counted from its stamp, a reading of the target's clock
	RenewInterval     time.Duration // between renewals of a grant
	MaxOrderDeadline  time.Duration // longest deadline of an order to a target that doesn't check fences
	StaleTimeout      time.Duration // time without the quorum lease after which callers are refused
	PlannerLease      time.Duration // TTL of the planner's session with the key-value service
}

// Dispatcher sends requests to one target and holds the target's deduplication records.
// *fulmardispatch.Dispatcher implements it and documents the methods.
type Dispatcher interface {
	http.Handler
	SetComplete(at time.Time, slots []int)
	Open(term uint64, concurrency int, slots []int)
	Grant(epoch uint64, slots []int)
	Stop(slots []int) <-chan struct{}
	StopAll() <-chan struct{}
	Resume(slots []int)
	SetSlots(concurrency int)
	Running() int
	Suspend()
	Lost() []uint64
	Close(reason fulmaroutcome.Reason)
	Export(slots []int) fulmardedup.Snapshot
	Import(s fulmardedup.Snapshot)
	Loads() []fulmarplan.Load
}

// Targets is a client of the grant interface of targets.
type Targets interface {
	State(ctx context.Context, address string) (fulmargrant.State, error)
	Grant(ctx context.Context, address string, g fulmargrant.Grant) (fulmargrant.State, error)
}

// Store is a client of the key-value service; *fulmarstore.Client implements it.
type Store interface {
	Get(ctx context.Context, key string) (fulmarstore.Value, error)
	Put(ctx context.Context, key string, data []byte, index uint64) error
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (fulmarstore.Value, error)
	NewSession(ctx context.Context, ttl time.Duration) (string, error)
	Renew(ctx context.Context, session string) error
	Destroy(ctx context.Context, session string) error
	Acquire(ctx context.Context, key, session string, data []byte) (bool, error)
	Nodes(ctx context.Context, service string) ([]fulmarstore.Node, error)
}

// Counter counts control events by name.
type Counter interface {
	Count(name string)
}

// Deps are the dependencies and settings of a Controller.
type Deps struct {
	Self          fulmarslot.Member
	Source        net.IP   // local address of connections to peers, nil for any
	Seeds         []string // control addresses of peers, for discovery while the catalog doesn't answer
	Key           []byte   // authenticates calls between daemons, which share it
	Timing        Timing
	Store         Store
	Targets       Targets
	NewDispatcher func(fulmarslot.Target) Dispatcher
	Guard         *fulmarguard.Guard
	Counter       Counter
	Traffic       *fulmarpeer.Traffic // counts control traffic; may be nil
	Log           *slog.Logger
}

// Controller runs the control loops of one daemon.
type Controller struct {
	Deps
	loops       sync.WaitGroup
	plannerWake chan struct{}                          // wakes the planner loop before its next tick
	loadReports *fulmarring.Queue[fulmarwire.SlotLoad] // from dispatchers and peers, for the planner
	leaseExpiry atomic.Pointer[time.Time]              // expiry of the quorum lease, readable without mu

	mu                 sync.Mutex
	table              fulmarslot.Table
	encodedTable       []byte // table as received, for peers
	config             fulmarconfig.Config
	versionedConfig    fulmarconfig.Versioned
	encodedConfig      []byte // versionedConfig as received, for peers
	detector           *fulmarmember.Detector
	lease              *fulmarlease.Lease
	lastConfirmed      time.Time                        // when the last confirmation of the quorum lease was requested
	peers              map[string]*peer                 // by id
	grantManagers      map[string]*grantManager         // by target
	grantExpiries      map[string]*grantExpiryLog       // by target
	pendingImports     map[string]map[int]pendingImport // by target and slot
	holderHints        map[string]string                // by target: the daemon last named as its holder
	confirmedLosses    map[string]time.Time             // by member: when an operator confirmed its loss
	quarantineLifts    map[uint64]time.Time             // by fingerprint: when the lift was requested
	plannerLeaseExpiry time.Time                        // expiry of the own planner lease, zero if not elected
	minoritySince      time.Time                        // since when at most half of the roster is reachable, zero if a majority is
	storeErr           error                            // error of the last call to the key-value service
	leaving            bool                             // the daemon is shutting down
	refusesCallers     bool                             // requests of callers are refused
	stateChanged       chan struct{}                    // closed and replaced when the state changes
}

// pendingImport holds the deduplication records of a slot that moves to a target,
// until the move ends.
type pendingImport struct {
	moveEpoch uint64 // epoch in which the move started
	snapshot  fulmardedup.Snapshot
}

// New returns a controller whose loops are started by Run.
func New(deps Deps) *Controller {
	return &Controller{
		Deps:            deps,
		plannerWake:     make(chan struct{}, 1),
		loadReports:     fulmarring.New[fulmarwire.SlotLoad](maxLoads),
		detector:        fulmarmember.New(deps.Timing.DownTimeout),
		lease:           fulmarlease.New(deps.Self.ID, deps.Timing.LeaseWindow),
		peers:           make(map[string]*peer),
		grantManagers:   make(map[string]*grantManager),
		grantExpiries:   make(map[string]*grantExpiryLog),
		pendingImports:  make(map[string]map[int]pendingImport),
		holderHints:     make(map[string]string),
		confirmedLosses: make(map[string]time.Time),
		quarantineLifts: make(map[uint64]time.Time),
		stateChanged:    make(chan struct{}),
	}
}

// Run runs the control loops until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	for _, loop := range []func(context.Context){
		c.runMonitor, c.runDiscovery, c.runElection, c.runPlanner, c.runConfigWatch, c.runStoreConfirm, c.runLoads,
	} {
		c.loops.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	c.loops.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
}

// applyTable puts an encoded table in force if it is newer than the current one, and
// ignores it otherwise.
func (c *Controller) applyTable(ctx context.Context, raw []byte) error {
	table, err := fulmarslot.Decode(raw)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if table.Epoch() <= c.table.Epoch() {
		return nil
	}
	rosterChanged := !rostersEqual(c.table.Roster(), table.Roster())
	c.updateQuarantine(table)
	c.table, c.encodedTable = table, raw
	if rosterChanged {
		c.updateLeaseRoster(ctx)
	}
	c.dropStaleImports()
	c.syncGrantManagers(ctx)
	c.notifyChange()
	c.Log.Debug("table applied", "epoch", table.Epoch())
	return nil
}

func rostersEqual(a, b []fulmarslot.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// updateQuarantine adds the quarantine marks of the new table to the guard, and
// lifts those of the current table that the new one lacks. mu must be held.
func (c *Controller) updateQuarantine(table fulmarslot.Table) {
	quarantined := make(map[uint64]bool)
	for _, q := range table.Quarantined() {
		quarantined[q.Fingerprint] = true
	}
	for _, q := range c.table.Quarantined() {
		if !quarantined[q.Fingerprint] {
			c.Guard.Lift(q.Fingerprint)
		}
	}
	c.Guard.Merge(guardMarks(table.Quarantined()))
}

func guardMarks(quarantined []fulmarslot.Quarantine) []fulmarguard.Mark {
	out := make([]fulmarguard.Mark, len(quarantined))
	for i, q := range quarantined {
		out[i] = fulmarguard.Mark(q)
	}
	return out
}

// updateLeaseRoster sets the members of the quorum lease to the roster of the
// table. If this incarnation of the daemon is not in the roster, the lease gets
// no members and is never held. mu must be held.
func (c *Controller) updateLeaseRoster(ctx context.Context) {
	var ids []string
	inRoster := false
	for _, m := range c.table.Roster() {
		ids = append(ids, m.ID)
		if m.ID == c.Self.ID {
			inRoster = m.Incarnation == c.Self.Incarnation
			continue
		}
		c.addPeer(ctx, m)
	}
	if !inRoster {
		ids = nil
	}
	c.lease.SetRoster(ids)
	c.updateLease(time.Now())
}

// applyConfig puts an encoded configuration in force if it is newer than the current
// one, and ignores it otherwise.
func (c *Controller) applyConfig(raw []byte) error {
	versioned, err := fulmarconfig.DecodeVersioned(raw)
	if err != nil {
		return err
	}
	config, err := fulmarconfig.Parse(versioned.Text)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if versioned.Version <= c.versionedConfig.Version {
		return nil
	}
	c.config, c.versionedConfig, c.encodedConfig = config, versioned, raw
	c.notifyChange()
	c.Log.Info("configuration in force", "version", versioned.Version, "author", versioned.Author)
	return nil
}

// notifyChange wakes everything that waits for a change of the state, including the
// planner loop; mu must be held.
func (c *Controller) notifyChange() {
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
	select {
	case c.plannerWake <- struct{}{}:
	default:
	}
}

// updateLease publishes the expiry of the quorum lease, records its last confirmation
// and reports whether the lease is held; mu must be held.
func (c *Controller) updateLease(now time.Time) bool {
	expiry := c.lease.Expiry()
	c.leaseExpiry.Store(&expiry)
	// StaleTimeout counts from the last confirmation, not from the expiry of the
	// lease: a newer configuration may come into force elsewhere within the window
	// between the two.
	confirmed := expiry.Add(-c.Timing.LeaseWindow)
	if confirmed.After(now) { // the only member of a roster needs no confirmation
		confirmed = now
	}
	if confirmed.After(c.lastConfirmed) {
		c.lastConfirmed = confirmed
	}
	return now.Before(expiry)
}

// HasLease reports whether the quorum lease is held, by the expiry that was last
// published. It takes no lock, so that a dispatcher may call it.
func (c *Controller) HasLease() bool {
	expiry := c.leaseExpiry.Load()
	return expiry != nil && time.Now().Before(*expiry)
}

// dropStaleImports drops the pending deduplication records of moves that were
// cancelled or superseded. It keeps those of moves that are newer than the table in
// force. mu must be held.
func (c *Controller) dropStaleImports() {
	for target, slots := range c.pendingImports {
		t, ok := c.table.Target(target)
		for slot, pending := range slots {
			if pending.moveEpoch > c.table.Epoch() {
				continue
			}
			if !ok || slot >= c.table.Slots(t.Service) {
				delete(slots, slot)
				continue
			}
			a := c.table.Assignment(t.Service, slot)
			if a.MoveEpoch != pending.moveEpoch || (a.Owner != target && a.Next != target) {
				delete(slots, slot)
			}
		}
		if len(slots) == 0 {
			delete(c.pendingImports, target)
		}
	}
}
