package fulmarleader

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarcoldness"
	"github.com/fulmarbend/fulmarbend/internal/fulmarpublisher"
	"github.com/fulmarbend/fulmarbend/internal/fulmarretention"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreach"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrecovery"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarsilence"
)

// Timing of the leader's duties.
const (
	readInterval = 500 * time.Millisecond
	minReadPause = 100 * time.Millisecond // shortest pause between reads when the store is slow
	planInterval = 200 * time.Millisecond
	// grantDuration is the validity of a grant. The keys of an unresponsive target get a new owner after about that
	// time.
	grantDuration      = 1900 * time.Millisecond
	grantRenewInterval = 450 * time.Millisecond
	retryInterval      = 100 * time.Millisecond
	priorRemovalDelay  = 100 * time.Millisecond // batches the removal of prior owners from the tables
	workerRetention    = 5 * time.Second        // after a target was last listed: it can still be told to release keys
	targetRetention    = time.Minute            // how long data of a target that is no longer listed is kept
	// extendGrantsAfter is the time without an answer of the store after which grants are extended, so that keys keep
	// their owners while the store is down and no leader can be elected.
	extendGrantsAfter  = 550 * time.Millisecond
	extendedGrantShare = 0.95 // share of MaxGrantDuration
)

// OrderSender sends orders to targets.
type OrderSender interface {
	Send(ctx context.Context, address string, o fulmarorder.Order) (fulmarorder.Reply, error)
}

// Metrics counts events.
type Metrics interface {
	Count(name string)
}

// Deps are the dependencies of a leader.
type Deps struct {
	ID               string
	Address          string // at which other daemons reach the leader
	DC               string
	Store            fulmarkv.Store
	Registry         fulmarsnapshot.Decoder
	Orders           OrderSender
	Views            *fulmarview.Holder
	MaxGrantDuration time.Duration              // longest grant that targets accept
	MinLease         time.Duration              // shortest lease that the store grants, zero for none
	EvacuationTime   func() time.Duration       // time after which evacuated targets get no requests
	CPUShare         float64                    // usable share of a CPU core of this daemon
	Limits           *fulmarlimit.Board         // limits that targets have stated
	Coldness         *fulmarcoldness.Coldness   // of the targets of Views; may be nil
	Notices          *fulmarnotice.Board        // what targets say of themselves
	Crashes          *fulmarcrash.Board         // requests under which targets have ended
	Publisher        *fulmarpublisher.Publisher // of Views; the follower that leads sets it
	Eras             *fulmarera.Tracker         // of the store; nil for a store without eras
	// FirstStartBefore is the time by which a daemon learns the era of its store at the first start of the fleet; zero if the fleet has
	// started before. If a daemon reaches the store later, others may have granted keys in an era that it has not seen.
	FirstStartBefore time.Time
	StoreForwarded   func() bool // reports whether calls to the store are forwarded through other daemons
	// FindGrantLapse returns the time at which all grants of an earlier term have lapsed; ok is false if no daemon
	// knows it. It may ask the daemon at address, which led in that term.
	FindGrantLapse func(ctx context.Context, term fulmarera.Revision, address string) (latest time.Time, ok bool)
	Metrics        Metrics
	Log            *slog.Logger
	Now            func() time.Time // a clock that does not stop while the machine is suspended
}

// keyedService is the leader's state of one keyed service.
type keyedService struct {
	orders        *fulmarorder.Scheduler
	rates         *fulmarassign.Rates
	responseTimes *fulmarassign.ServiceTimes
	obsoleteSince time.Time // when prior owners became removable; zero if there are none
	reach         *fulmarreach.Board
	reachable     map[fulmarrange.Incarnation]bool    // as logged last
	hotKeyRates   map[fulmarrange.Incarnation]float64 // requests a second that the targets of single keys can do, if they are asked for more
}

// Term is the period in which this daemon holds one leader lease.
type Term struct {
	deps   Deps
	reader *fulmarsnapshot.Reader
	lease  acquiredLease

	mu               sync.Mutex
	validUntil       time.Time // the lease is certain to be valid until then
	lastRenewal      time.Time // start of the latest call that renewed the lease
	ended            bool      // the lease is known to have ended
	grantsExtended   bool
	snapshot         *fulmarsnapshot.Snapshot
	tablesRevision   fulmarera.Revision
	services         map[string]*keyedService
	workers          map[fulmarrange.Incarnation]*worker
	workersStopped   bool
	fleet            *fleet
	beganAt          time.Time
	formerDaemons    int // number of daemons that was known when the term began
	recentTargets    *fulmarretention.Window
	formerWriter     fulmarsnapshot.Writer // last writer of the tables before this term
	isPublished      bool                  // the daemon's view is that of this term
	relays           fulmarrelay.Set
	served           map[string]time.Time // by id: daemons without relays, when they last reported
	nextRelayChoice  time.Time            // relays are not chosen anew before then
	publishRequested chan struct{}        // holds a value while there are changes to publish
	permits          *fulmarpermit.Dispenser
	silence          *fulmarsilence.Board
	coldTargets      map[string]int                   // by service: number of cold targets that was logged last
	hotKeyRates      atomic.Pointer[fulmarrate.Table] // by target: the permits a second for its only key; read without mu
	permitsUntil     atomic.Pointer[time.Time]        // validUntil; it is read without mu, which a publication may hold for long
	crashesWritten   int64                            // version of the crashes that this term has stored; planLoop uses it
	load             answerCounts                     // of the answers to reports since the last line in the log
	duties           dutyCounts                       // since the last line in the log
	recovery         recovery
	group            sync.WaitGroup
}

// Begin tries to become the leader. s is the latest known snapshot, in which no daemon leads. p is what
// this daemon knows from before. The term is the only user of reader until it ends.
func Begin(ctx context.Context, d Deps, reader *fulmarsnapshot.Reader, s *fulmarsnapshot.Snapshot, p Past) (*Term, error) {
	acquired, err := acquireLease(ctx, d)
	if err != nil {
		return nil, err
	}
	t := &Term{
		deps: d, reader: reader, lease: acquired, validUntil: acquired.validUntil, lastRenewal: d.Now(), snapshot: s,
		services: make(map[string]*keyedService), workers: make(map[fulmarrange.Incarnation]*worker),
		fleet: newFleet(), beganAt: d.Now(), formerDaemons: d.Views.Get().Daemons, recentTargets: fulmarretention.New(d.Now(), targetRetention), permits: fulmarpermit.New(), coldTargets: make(map[string]int), silence: fulmarsilence.New(),
		publishRequested: make(chan struct{}, 1), served: make(map[string]time.Time), recovery: recovery{Past: p},
	}
	t.keepRelays(d.Views.Get().Relays)
	t.permitsUntil.Store(&acquired.validUntil)
	t.hotKeyRates.Store(&fulmarrate.Table{})
	return t, nil
}

// Run performs the leader's duties until the lease is lost or ctx ends, and then releases the lease.
func (t *Term) Run(ctx context.Context) {
	log := t.deps.Log
	log.Info("elected as leader", "term", t.lease.revision)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.group.Go(func() { defer cancel(); t.renewLoop(ctx) })
	t.group.Go(func() { defer cancel(); t.awaitRestore(ctx) })
	// The snapshot taken before the election may lack the last change of the former leader.
	if !t.readStore(ctx) && !t.retryRead(ctx) {
		cancel()
		t.group.Wait()
		return
	}
	t.group.Go(func() { t.readLoop(ctx) })
	t.group.Go(func() { t.limitFormerGrants(ctx) })
	t.group.Go(func() { t.publishLoop(ctx) })
	t.group.Go(func() { t.logLoad(ctx) })
	t.planLoop(ctx, cancel)
	cancel()
	t.stopWorkers()
	t.group.Wait()
	t.endTerm() // all workers have stopped, so no orders are sent any more
	t.resign()
	log.Info("leader term ended", "term", t.lease.revision)
}

// limitFormerGrants finds out when the grants of the former leader lapse and records it. The former leader is the last
// writer of the tables, as a leader sends grants only after it has written them.
func (t *Term) limitFormerGrants(ctx context.Context) {
	if t.recovery.basis != fulmarrecovery.Stored {
		return // the last leader may be another one
	}
	latest, ok := t.deps.FindGrantLapse(ctx, t.formerWriter.Term, t.formerWriter.Address)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.orders.LimitInherited(latest)
	}
	t.deps.Log.Info("former leader's grants lapse", "term", t.lease.revision, "former", t.formerWriter.Term, "left", latest.Sub(t.deps.Now()))
	t.wakeWorkers()
}

// retryRead repeats the first read of the store until it succeeds or ctx ends.
func (t *Term) retryRead(ctx context.Context) bool {
	for fulmarclock.Sleep(ctx, retryInterval) {
		if t.readStore(ctx) {
			return true
		}
	}
	return false
}

// wakeWorkers makes all workers check for due orders. The caller holds mu.
func (t *Term) wakeWorkers() {
	for _, w := range t.workers {
		w.wake()
	}
}

func (t *Term) readLoop(ctx context.Context) {
	for next := readInterval; fulmarclock.Sleep(ctx, next); {
		began := t.deps.Now()
		t.readStore(ctx)
		// A slow store must not make the published state older, so the read time counts towards the interval.
		next = max(readInterval-t.deps.Now().Sub(began), minReadPause)
	}
}

// readStore reads a snapshot and makes it current. It ends the term if another daemon leads.
func (t *Term) readStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	t.mu.Lock()
	former := t.snapshot
	t.mu.Unlock()
	began := t.deps.Now()
	s, err := t.reader.Read(callCtx, former.Catalog, former.ReadAt)
	t.countRead(began, err == nil)
	if err != nil {
		return false
	}
	if s.LeaderRevision != t.lease.revision {
		t.deps.Log.Warn("another daemon has become the leader", "term", t.lease.revision, "other", s.LeaderRevision)
		t.endTerm()
		return false
	}
	t.deps.RecordCrashes(s.Crashes, "store")
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Catalog = s.Catalog.WithLeaving(t.deps.Now(), s.ReadAt, t.deps.Notices.Leaving())
	first := t.tablesRevision == 0 && len(t.services) == 0
	if first {
		t.chooseBasis(t.deps.Now(), s)
	}
	s.Tables = t.knownTables(s)
	t.snapshot = s
	if first {
		t.formerWriter = s.TablesWriter
		t.tablesRevision = s.TablesRevision
		if len(t.relays) == 0 {
			t.keepRelays(s.Fleet.Relays)
		}
	}
	now := t.deps.Now()
	t.addServices(now)
	t.startWorkers(now)
	t.forgetTargets(now)
	t.logCold(now)
	if first {
		t.publish()
	} else {
		t.requestPublish()
	}
	return true
}

// forgetTargets removes the data of targets that have not been listed for targetRetention. The caller holds mu.
func (t *Term) forgetTargets(now time.Time) {
	if !t.recentTargets.Advance(now, t.snapshot.Catalog) {
		return
	}
	t.permits.Retain(t.recentTargets.Has)
	for _, s := range t.services {
		s.responseTimes.Retain(t.recentTargets.Has)
		s.reach.Retain(t.recentTargets.Has)
		maps.DeleteFunc(s.reachable, func(life fulmarrange.Incarnation, _ bool) bool { return !t.recentTargets.Has(life.ID) })
	}
}

// addServices creates the state of newly configured keyed services. The caller holds mu.
func (t *Term) addServices(now time.Time) {
	if t.snapshot.Routes == nil {
		return
	}
	for _, svc := range t.snapshot.Routes.Config().Services {
		if !svc.Keyed || t.services[svc.Name] != nil {
			continue
		}
		table, ok := t.snapshot.Tables[svc.Name]
		if !ok {
			table = fulmarrange.New()
		}
		t.services[svc.Name] = &keyedService{
			orders: t.newScheduler(now, table), rates: fulmarassign.NewRates(now),
			responseTimes: fulmarassign.NewServiceTimes(), reach: fulmarreach.New(), reachable: make(map[fulmarrange.Incarnation]bool),
		}
	}
}

// timing returns the timing parameters of grants.
func (t *Term) timing() fulmarorder.Timing {
	return fulmarorder.Timing{GrantTTL: grantDuration, RenewInterval: grantRenewInterval, RetryInterval: retryInterval, MaxGrantTTL: t.deps.MaxGrantDuration}
}
