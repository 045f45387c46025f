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

// Timing has the periods and bounds of the control loops.
type Timing struct {
	HeartbeatInterval time.Duration
	DownTimeout       time.Duration // silence after which a peer is down
	LeaseWindow       time.Duration // of the quorum lease
	GrantTTL          time.Duration // of a grant
	RenewInterval     time.Duration
	MaxOrderDeadline  time.Duration // longest deadline of an order to a target that checks no fence
	StaleTimeout      time.Duration // time without the quorum lease after which callers are refused
	PlannerLease      time.Duration // of the planner
}

// Dispatcher is the data plane of one target.
type Dispatcher interface {
	http.Handler
	SetComplete(at time.Time, slots []int)
	Open(term uint64, free int, slots []int)
	Grant(epoch uint64, slots []int)
	Stop(slots []int) <-chan struct{}
	StopAll() <-chan struct{}
	Resume(slots []int)
	SetSlots(n int)
	Running() int
	Suspend()
	Lost() []uint64
	Close(reason fulmaroutcome.Reason)
	Export(slots []int) fulmardedup.Snapshot
	Import(s fulmardedup.Snapshot)
	Loads() []fulmarplan.Load
}

// Targets calls the grant interface of targets.
type Targets interface {
	State(ctx context.Context, address string) (fulmargrant.State, error)
	Grant(ctx context.Context, address string, g fulmargrant.Grant) (fulmargrant.State, error)
}

// Store is the key-value service.
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

// Deps are what a controller works with.
type Deps struct {
	Self          fulmarslot.Member
	Source        net.IP   // local address of connections to peers, nil for any
	Seeds         []string // control addresses to try when the catalog does not answer
	Key           []byte   // shared by all daemons
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
	group sync.WaitGroup
	kick  chan struct{}                     // wakes the planner loop
	loads *fulmarring.Ring[fulmarwire.Load] // from the dispatchers and peers to the planner
	until atomic.Pointer[time.Time]         // end of the quorum lease, readable without the lock

	mu        sync.Mutex
	table     fulmarslot.Table
	tableRaw  []byte
	config    fulmarconfig.Config
	versioned fulmarconfig.Versioned
	configRaw []byte
	view      *fulmarmember.Detector
	lease     *fulmarlease.Lease
	confirmed time.Time // when the last confirmation of the quorum lease was requested
	peers     map[string]*peer
	keepers   map[string]*keeper
	lapses    map[string]*lapseLog
	imports   map[string]map[int]pendingImport
	learned   map[string]string // holder of a target by a not-holder answer
	confirm   map[string]time.Time
	lift      map[uint64]time.Time
	plannerTo time.Time // end of the own planner lease
	minority  time.Time // since when no majority of the roster is heard, zero if one is
	storeErr  error     // of the last call to the key-value service
	leaving   bool
	closed    bool // no more callers are accepted
	changed   chan struct{}
}

type pendingImport struct {
	since    uint64
	snapshot fulmardedup.Snapshot
}

// New returns a controller that does nothing until Run.
func New(deps Deps) *Controller {
	return &Controller{
		Deps:    deps,
		kick:    make(chan struct{}, 1),
		loads:   fulmarring.New[fulmarwire.Load](maxLoads),
		view:    fulmarmember.New(deps.Timing.DownTimeout),
		lease:   fulmarlease.New(deps.Self.ID, deps.Timing.LeaseWindow),
		peers:   make(map[string]*peer),
		keepers: make(map[string]*keeper),
		lapses:  make(map[string]*lapseLog),
		imports: make(map[string]map[int]pendingImport),
		learned: make(map[string]string),
		confirm: make(map[string]time.Time),
		lift:    make(map[uint64]time.Time),
		changed: make(chan struct{}),
	}
}

// Run runs the control loops until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for _, duty := range []func(context.Context){
		c.runMonitor, c.runDiscovery, c.runElection, c.runPlanner, c.runConfigWatch, c.runStoreConfirm, c.runLoads,
	} {
		c.group.Go(func() { duty(ctx) })
	}
	<-ctx.Done()
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
}

// adoptTable puts a newer table in force; an older or equal one is ignored.
func (c *Controller) adoptTable(ctx context.Context, raw []byte) error {
	table, err := fulmarslot.Decode(raw)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if table.Epoch() <= c.table.Epoch() {
		return nil
	}
	rosterChanged := !sameRoster(c.table.Roster(), table.Roster())
	c.mergeQuarantine(table)
	c.table, c.tableRaw = table, raw
	if rosterChanged {
		c.setRoster(ctx)
	}
	c.dropImports()
	c.syncKeepers(ctx)
	c.notify()
	c.Log.Debug("table adopted", "epoch", table.Epoch())
	return nil
}

func sameRoster(a, b []fulmarslot.Member) bool {
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

// mergeQuarantine takes over the marks of the new table, and lifts those that
// it no longer has. mu must be held.
func (c *Controller) mergeQuarantine(table fulmarslot.Table) {
	kept := make(map[uint64]bool)
	for _, q := range table.Quarantined() {
		kept[q.Fingerprint] = true
	}
	for _, q := range c.table.Quarantined() {
		if !kept[q.Fingerprint] {
			c.Guard.Lift(q.Fingerprint)
		}
	}
	c.Guard.Merge(marks(table.Quarantined()))
}

func marks(quarantined []fulmarslot.Quarantine) []fulmarguard.Mark {
	out := make([]fulmarguard.Mark, len(quarantined))
	for i, q := range quarantined {
		out[i] = fulmarguard.Mark(q)
	}
	return out
}

// setRoster tells the lease whose answers count. A daemon whose incarnation
// is not in the roster gets a lease without members, which is never held.
func (c *Controller) setRoster(ctx context.Context) {
	var ids []string
	inRoster := false
	for _, m := range c.table.Roster() {
		ids = append(ids, m.ID)
		if m.ID == c.Self.ID {
			inRoster = m.Incarnation == c.Self.Incarnation
			continue
		}
		c.learnPeer(ctx, m)
	}
	if !inRoster {
		ids = nil
	}
	c.lease.SetRoster(ids)
	c.held(time.Now())
}

// adoptConfig puts a newer configuration in force; an older or equal one is ignored.
func (c *Controller) adoptConfig(raw []byte) error {
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
	if versioned.Version <= c.versioned.Version {
		return nil
	}
	c.config, c.versioned, c.configRaw = config, versioned, raw
	c.notify()
	c.Log.Info("configuration in force", "version", versioned.Version, "author", versioned.Author)
	return nil
}

// notify wakes all who wait for a change of the state; mu must be held.
func (c *Controller) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// held reports whether the quorum lease is in force; mu must be held.
func (c *Controller) held(now time.Time) bool {
	until := c.lease.Expiry()
	c.until.Store(&until)
	// The lease outlasts its confirmation by the window, in which a newer
	// configuration may come into force elsewhere.
	confirmed := until.Add(-c.Timing.LeaseWindow)
	if confirmed.After(now) { // the only daemon of the roster needs no confirmation
		confirmed = now
	}
	if confirmed.After(c.confirmed) {
		c.confirmed = confirmed
	}
	return now.Before(until)
}

// Current reports whether the quorum lease was in force when last looked at
// and still is. It takes no lock, so that a dispatcher may call it.
func (c *Controller) HasLease() bool {
	until := c.until.Load()
	return until != nil && time.Now().Before(*until)
}

// dropImports forgets request memory whose move did not end at the target.
// Memory of a move that the own table does not have yet is kept. mu must be held.
func (c *Controller) dropImports() {
	for target, slots := range c.imports {
		t, ok := c.table.Target(target)
		for slot, pending := range slots {
			if pending.since > c.table.Epoch() {
				continue
			}
			if !ok || slot >= c.table.Slots(t.Service) {
				delete(slots, slot)
				continue
			}
			a := c.table.Assignment(t.Service, slot)
			if a.MoveEpoch != pending.since || (a.Owner != target && a.Next != target) {
				delete(slots, slot)
			}
		}
		if len(slots) == 0 {
			delete(c.imports, target)
		}
	}
}
