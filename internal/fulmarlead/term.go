package fulmarlead

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

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
	// bridgeAfter is the time without an answer of the store after which grants are extended, so that keys
	// keep their owners while nobody can lead.
	bridgeAfter = 500 * time.Millisecond
	bridgeShare = 0.95 // of the longest grant
)

// Orders sends orders to targets.
type Orders interface {
	Send(ctx context.Context, address string, o fulmarorder.Order) (handover string, err error)
}

// Deps are what a leader works with.
type Deps struct {
	ID       string
	Address  string // under which other daemons reach the leader
	Store    fulmarkv.Store
	Registry fulmarsnapshot.Registry
	Orders   Orders
	Views    *fulmarview.Holder
	HoldMax  time.Duration // longest time of a grant that targets accept
	Power    float64       // share of a core that this daemon has
	Log      *slog.Logger
	Now      func() time.Time // a clock that does not stop while the machine is suspended
}

// shard is what the leader keeps of one keyed service.
type shard struct {
	book    *fulmarorder.Book
	rates   *fulmarassign.Rates
	times   *fulmarassign.Times
	settled time.Time // since when earlier owners wait to be dropped
	reach   map[fulmarrange.Life]bool
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
	workers  map[fulmarrange.Life]*worker
	fleet    *fleet
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
		shards: make(map[string]*shard), workers: make(map[fulmarrange.Life]*worker),
		fleet:   newFleet(),
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
	t.group.Go(func() { t.publishLoop(ctx) })
	t.planLoop(ctx, cancel)
	cancel()
	t.dismiss()
	t.group.Wait()
	t.resign()
	log.Info("leading ended", "term", t.seat.revision)
}

// awaitRead repeats the first read until it succeeds.
func (t *Term) awaitRead(ctx context.Context) bool {
	for sleep(ctx, retry) {
		if t.read(ctx) {
			return true
		}
	}
	return false
}

// resign ends the lease, so that another daemon can lead at once.
func (t *Term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := t.deps.Store.End(ctx, t.seat.lease); err != nil {
		t.deps.Log.Info("lease not given up", "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// leads reports whether the lease surely holds.
func (t *Term) leads(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.valid)
}

// keepLoop extends the lease until it is lost. Calls that are not answered soon do not hold up the next ones.
func (t *Term) keepLoop(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(keepsOpen)
	defer func() { _ = calls.Wait() }() // the calls return no errors
	for next := time.Duration(0); sleep(ctx, next); next = keepEvery {
		if !t.leads(t.deps.Now()) {
			t.deps.Log.Warn("lease not extended in time", "term", t.seat.revision)
			return
		}
		calls.TryGo(func() error {
			t.keep(ctx)
			return nil
		})
	}
}

// keep extends the lease once.
func (t *Term) keep(ctx context.Context) {
	began := t.deps.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.deps.Store.Keep(ctx, t.seat.lease)
	if errors.Is(err, fulmarkv.ErrNoLease) {
		t.deps.Log.Warn("lease has ended", "term", t.seat.revision)
		t.mu.Lock()
		t.valid, t.ended = time.Time{}, true
		t.mu.Unlock()
		return
	}
	t.keptLease(began, err)
}

// keptLease records the outcome of a call that extends the lease.
func (t *Term) keptLease(began time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || err == nil && began.Before(t.kept) {
		return // a later call has told more
	}
	if err == nil {
		t.valid, t.kept = began.Add(LeaseTime-leaseMargin), began
		if t.bridged {
			t.bridged = false
			t.deps.Log.Info("grants are no longer extended", "term", t.seat.revision)
			t.setHold(hold)
		}
		return
	}
	if !t.bridged && t.deps.Now().Sub(t.kept) >= bridgeAfter {
		t.bridged = true
		t.deps.Log.Warn("store does not answer, extending grants", "term", t.seat.revision, "error", err)
		t.setHold(time.Duration(float64(t.deps.HoldMax) * bridgeShare))
	}
}

// setHold changes the time of all grants; mu is held.
func (t *Term) setHold(d time.Duration) {
	now := t.deps.Now()
	for _, s := range t.shards {
		s.book.WithHold(now, d)
	}
	t.wake()
}

// wake lets all workers look for orders; mu is held.
func (t *Term) wake() {
	for _, w := range t.workers {
		w.wake()
	}
}

func (t *Term) readLoop(ctx context.Context) {
	for next := readEvery; sleep(ctx, next); {
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
	s, err := t.reader.Read(callCtx, former.Catalog, former.Taken)
	if err != nil {
		return false
	}
	if s.LeaderRevision != t.seat.revision {
		t.deps.Log.Warn("another daemon leads", "term", t.seat.revision, "other", s.LeaderRevision)
		t.mu.Lock()
		t.valid = time.Time{}
		t.mu.Unlock()
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.revision == 0 && len(t.shards) == 0
	t.snapshot = s
	if first {
		t.revision = s.TablesRevision
	}
	now := t.deps.Now()
	t.openShards(now)
	t.staff(now)
	if first {
		t.publish()
	} else {
		t.announce()
	}
	return true
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
		timing := fulmarorder.Timing{Hold: hold, Renew: renew, Retry: retry, HoldMax: t.deps.HoldMax}
		t.shards[svc.Name] = &shard{
			book: fulmarorder.New(now, table, timing), rates: fulmarassign.NewRates(now),
			times: fulmarassign.NewTimes(), reach: make(map[fulmarrange.Life]bool),
		}
	}
}

// planLoop decides moves and writes tables until the lease is lost.
func (t *Term) planLoop(ctx context.Context, lost context.CancelFunc) {
	for {
		if !t.leads(t.deps.Now()) {
			lost()
			return
		}
		if err := t.plan(ctx); err != nil {
			t.deps.Log.Warn("tables not written", "term", t.seat.revision, "error", err)
			if errors.Is(err, fulmarkv.ErrConflict) {
				lost()
				return
			}
		}
		if !sleep(ctx, planEvery) {
			return
		}
	}
}

// plan computes the tables that should be in force and writes them if they differ from the present ones.
func (t *Term) plan(ctx context.Context) error {
	tables, changed := t.wanted()
	if !changed {
		return nil
	}
	revision, err := t.write(ctx, tables)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = revision
	for name, table := range tables {
		t.shards[name].book.Commit(table)
	}
	t.staff(t.deps.Now())
	t.announce()
	t.wake()
	return nil
}

// wanted returns the tables of all keyed services and whether one of them is new.
func (t *Term) wanted() (tables map[string]fulmarrange.Table, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	tables = make(map[string]fulmarrange.Table, len(t.shards))
	for name, s := range t.shards {
		s.rates.Advance(now)
		s.book.Expire(now)
		table, renewed := t.tidy(now, s)
		next := fulmarassign.Plan(table, t.owners(now, name, s), s.rates, fulmarassign.Standard)
		if renewed || next.Fence() != table.Fence() {
			changed = true
		}
		tables[name] = next
	}
	return tables, changed
}

// tidy drops earlier owners that no longer matter and renews fences of lives that may have been replaced.
func (t *Term) tidy(now time.Time, s *shard) (fulmarrange.Table, bool) {
	table, changed := s.book.Table(), false
	settled := s.book.Settled()
	if len(settled) == 0 {
		s.settled = time.Time{}
	} else if s.settled.IsZero() {
		s.settled = now
	}
	if len(settled) > 0 && now.Sub(s.settled) >= settle {
		s.settled = time.Time{}
		changed = true
		for _, g := range settled {
			for _, p := range g.Prior {
				table = table.WithoutPrior(g.From, g.To, p)
			}
		}
	}
	for _, g := range table.Segments() {
		if g.Owned() && s.book.Uncertain(g.Owner.Life) {
			table = table.WithRenewedFence(g.From, g.To)
			changed = true
		}
	}
	return table, changed
}

// owners returns the targets that can own keys of a service; mu is held.
func (t *Term) owners(now time.Time, service string, s *shard) []fulmarassign.Target {
	var out []fulmarassign.Target
	for _, target := range t.snapshot.Catalog.Service(service) {
		life := target.Life()
		stall := s.book.Stalled(now, life)
		limit := silentTime
		if stall.Unsent {
			limit = stallTime
		}
		reachable := stall.Since < limit || stall.Count < stallMin
		if s.reach[life] != reachable {
			s.reach[life] = reachable
			t.deps.Log.Info("target judged", "target", life.ID, "reachable", reachable, "failures", stall.Count, "since", stall.Since, "unsent", stall.Unsent)
		}
		if target.Leaving || !reachable {
			continue
		}
		out = append(out, fulmarassign.Target{Life: life, Slots: target.Slots, Time: s.times.Get(now, target.ID)})
	}
	return out
}

// write stores the tables on the condition that this daemon leads and nobody else has written them.
func (t *Term) write(ctx context.Context, tables map[string]fulmarrange.Table) (int64, error) {
	t.mu.Lock()
	known := maps.Clone(t.snapshot.Tables)
	revision := t.revision
	stored := t.snapshot.Fleet.Strongest
	_, strongest := t.daemons(t.deps.Now())
	strongest = max(strongest, t.deps.Power)
	t.mu.Unlock()
	if known == nil {
		known = make(map[string]fulmarrange.Table)
	}
	maps.Copy(known, tables)
	value, err := fulmarsnapshot.EncodeTables(known)
	if err != nil {
		return 0, err
	}
	change := fulmarkv.Change{
		If: []fulmarkv.Condition{
			{Key: fulmarsnapshot.LeaderKey, Revision: t.seat.revision},
			{Key: fulmarsnapshot.TablesKey, Revision: revision},
		},
		Write: []fulmarkv.Write{{Key: fulmarsnapshot.TablesKey, Value: value}},
	}
	if stored < strongest {
		record, err := fulmarsnapshot.Fleet{Strongest: strongest}.Encode()
		if err != nil {
			return 0, err
		}
		change.Write = append(change.Write, fulmarkv.Write{Key: fulmarsnapshot.FleetKey, Value: record})
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		next, err := t.deps.Store.Commit(callCtx, change)
		cancel()
		if err == nil {
			return next, nil
		}
		if errors.Is(err, fulmarkv.ErrConflict) {
			// An earlier attempt that was not answered may have been done.
			if next, ok := t.written(ctx, value); ok {
				return next, nil
			}
			return 0, err
		}
		if !errors.Is(err, fulmarkv.ErrAmbiguous) {
			return 0, err
		}
		t.deps.Log.Warn("write of tables not answered, repeating", "term", t.seat.revision, "error", err)
		if !sleep(ctx, retry) {
			return 0, ctx.Err()
		}
	}
}

// written reports whether the stored tables have the value.
func (t *Term) written(ctx context.Context, value []byte) (int64, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, err := t.deps.Store.Scan(callCtx, fulmarsnapshot.TablesKey)
	if err != nil {
		t.deps.Log.Warn("tables not read back", "error", err)
		return 0, false
	}
	for _, i := range items {
		if i.Key == fulmarsnapshot.TablesKey && bytes.Equal(i.Value, value) {
			return i.Revision, true
		}
	}
	return 0, false
}
