package fulmarlead

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarretain"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// Timing of the leader's duties.
const (
	readEvery = 500 * time.Millisecond
	readPause = 100 * time.Millisecond // after a read that took long
	planEvery = 200 * time.Millisecond
	// hold is the time of a grant. Keys of a target that fell silent are owned again about that long after.
	hold      = 1900 * time.Millisecond
	renew     = 450 * time.Millisecond
	retry     = 100 * time.Millisecond
	settle    = 100 * time.Millisecond // in which earlier owners are dropped from the tables together
	farewell  = 5 * time.Second        // a target that is no longer listed can still be told to release keys
	stallTime = 250 * time.Millisecond // of failed orders, after which a target loses its keys
	stallMin  = 2
	// silentTime replaces stallTime for a target that can be reached and does not answer orders: it may have taken
	// them, so its keys could not go to another one sooner anyway.
	silentTime = 1500 * time.Millisecond
	retention  = time.Minute // of what is known of a target that is no longer listed
	// bridgeAfter is the time without an answer of the store after which grants are extended, so that keys
	// keep their owners while nobody can lead.
	bridgeAfter = 550 * time.Millisecond
	bridgeShare = 0.95 // of the longest grant
)

// Orders sends orders to targets.
type OrderSender interface {
	Send(ctx context.Context, address string, o fulmarorder.Order) (handover string, err error)
}

// Deps are what a leader works with.
type Deps struct {
	ID               string
	Address          string // under which other daemons reach the leader
	Store            fulmarkv.Store
	Registry         fulmarsnapshot.Decoder
	Orders           OrderSender
	Views            *fulmarview.Holder
	MaxGrantDuration time.Duration // longest time of a grant that targets accept
	CPUShare         float64       // share of a core that this daemon has
	StoreForwarded   func() bool   // reports whether the store is called through other daemons
	// Ask returns the time after which the grants of an earlier term have lapsed; ok is false if nobody knows it. It may
	// ask the daemon at address, which led then.
	FindGrantLapse func(ctx context.Context, term int64, address string) (latest time.Time, ok bool)
	Log            *slog.Logger
	Now            func() time.Time // a clock that does not stop while the machine is suspended
}

// shard is what the leader keeps of one keyed service.
type shard struct {
	book    *fulmarorder.Scheduler
	rates   *fulmarassign.Rates
	times   *fulmarassign.ServiceTimes
	settled time.Time // since when earlier owners wait to be dropped
	reach   map[fulmarrange.Incarnation]bool
}

// Term is one time of leading.
type Term struct {
	deps   Deps
	reader *fulmarsnapshot.Reader
	seat   seat

	mu       sync.Mutex
	valid    time.Time // the lease surely holds until then
	kept     time.Time // when the call began that last extended the lease
	ended    bool      // the lease is known to have ended
	bridged  bool
	snapshot *fulmarsnapshot.Snapshot
	revision int64 // of the tables
	shards   map[string]*shard
	workers  map[fulmarrange.Incarnation]*worker
	fleet    *fleet
	recent   *fulmarretain.Window
	packing  packing
	former   fulmarsnapshot.Writer // of the tables before this term
	state    state
	lists    history[*fulmarcatalog.Catalog]
	owned    history[map[string]fulmarview.Spans]
	changed  chan struct{} // closed when state changes
	stale    chan struct{} // holds a value while there are changes to publish
	answers  map[fulmarsync.Versions]answer
	group    sync.WaitGroup
}

// state is what the other daemons are told.
type state struct {
	have    fulmarsync.Versions
	known   time.Time
	routes  *fulmarroute.Table
	catalog *fulmarcatalog.Catalog
	owners  map[string]fulmarview.Spans
}

// Begin tries to become the leader after the snapshot showed that nobody leads.
// The term uses reader until it ends.
func Begin(ctx context.Context, d Deps, reader *fulmarsnapshot.Reader, s *fulmarsnapshot.Snapshot) (*Term, error) {
	acquired, err := acquire(ctx, d)
	if err != nil {
		return nil, err
	}
	return &Term{
		deps: d, reader: reader, seat: acquired, valid: acquired.valid, kept: d.Now(), snapshot: s,
		shards: make(map[string]*shard), workers: make(map[fulmarrange.Incarnation]*worker),
		fleet: newFleet(), recent: fulmarretain.New(d.Now(), retention),
		changed: make(chan struct{}), stale: make(chan struct{}, 1), answers: make(map[fulmarsync.Versions]answer),
	}, nil
}

// Run does the duties until the lease is lost or ctx ends. On a regular end it gives the lease up.
func (t *Term) Run(ctx context.Context) {
	log := t.deps.Log
	log.Info("leading", "term", t.seat.revision)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.group.Go(func() { defer cancel(); t.keepLoop(ctx) })
	// The snapshot that preceded the election may be older than the last change of the former leader.
	if !t.read(ctx) && !t.awaitRead(ctx) {
		cancel()
		t.group.Wait()
		return
	}
	t.group.Go(func() { t.readLoop(ctx) })
	t.group.Go(func() { t.askFormer(ctx) })
	t.group.Go(func() { t.publishLoop(ctx) })
	t.planLoop(ctx, cancel)
	cancel()
	t.dismiss()
	t.group.Wait()
	t.lose() // nothing is sent any more
	t.resign()
	log.Info("leading ended", "term", t.seat.revision)
}

// askFormer finds out when the grants of the former leader lapse: the one that wrote the tables last, as a leader
// sends grants only after that.
func (t *Term) askFormer(ctx context.Context) {
	latest, ok := t.deps.FindGrantLapse(ctx, t.former.Term, t.former.Address)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.shards {
		s.book.LimitInherited(latest)
	}
	t.deps.Log.Info("grants of the former leader", "term", t.seat.revision, "former", t.former.Term, "left", latest.Sub(t.deps.Now()))
	t.wake()
}

// awaitRead repeats the first read until it succeeds.
func (t *Term) awaitRead(ctx context.Context) bool {
	for fulmarclock.Sleep(ctx, retry) {
		if t.read(ctx) {
			return true
		}
	}
	return false
}

// wake lets all workers look for orders; mu is held.
func (t *Term) wake() {
	for _, w := range t.workers {
		w.wake()
	}
}

func (t *Term) readLoop(ctx context.Context) {
	for next := readEvery; fulmarclock.Sleep(ctx, next); {
		began := t.deps.Now()
		t.read(ctx)
		// What daemons know must not grow older because answers of the store are slow.
		next = max(readEvery-t.deps.Now().Sub(began), readPause)
	}
}

// read takes a snapshot and adopts it.
func (t *Term) read(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	former := t.snapshot
	t.mu.Unlock()
	s, err := t.reader.Read(callCtx, former.Catalog, former.ReadAt)
	if err != nil {
		return false
	}
	if s.LeaderRevision != t.seat.revision {
		t.deps.Log.Warn("another daemon leads", "term", t.seat.revision, "other", s.LeaderRevision)
		t.lose()
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.revision == 0 && len(t.shards) == 0
	t.snapshot = s
	if first {
		t.former = s.TablesWriter
		t.revision = s.TablesRevision
	}
	now := t.deps.Now()
	t.openShards(now)
	t.staff(now)
	t.forget(now)
	if first {
		t.publish()
	} else {
		t.announce()
	}
	return true
}

// forget drops what is known of targets that are gone; mu is held.
func (t *Term) forget(now time.Time) {
	if !t.recent.Advance(now, t.snapshot.Catalog) {
		return
	}
	for _, s := range t.shards {
		s.times.Retain(t.recent.Has)
		maps.DeleteFunc(s.reach, func(life fulmarrange.Incarnation, _ bool) bool { return !t.recent.Has(life.ID) })
	}
}

// openShards creates the books of the keyed services; mu is held.
func (t *Term) openShards(now time.Time) {
	if t.snapshot.Routes == nil {
		return
	}
	for _, svc := range t.snapshot.Routes.Config().Services {
		if !svc.Keyed || t.shards[svc.Name] != nil {
			continue
		}
		table, ok := t.snapshot.Tables[svc.Name]
		if !ok {
			table = fulmarrange.New()
		}
		t.shards[svc.Name] = &shard{
			book: fulmarorder.New(now, table, t.timing()), rates: fulmarassign.NewRates(now),
			times: fulmarassign.NewServiceTimes(), reach: make(map[fulmarrange.Incarnation]bool),
		}
	}
}

// timing returns the times of grants.
func (t *Term) timing() fulmarorder.Timing {
	return fulmarorder.Timing{GrantTTL: hold, RenewInterval: renew, RetryInterval: retry, MaxGrantTTL: t.deps.MaxGrantDuration}
}
