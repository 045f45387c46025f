package fulmarfollow

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlead"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

const (
	// lookEvery is the time between looks for a leader, and failEvery that between calls to a store that fails.
	lookEvery = 250 * time.Millisecond
	failEvery = time.Second
	// refresh is the age of the view from which the daemon reads the whole store itself while it has no leader.
	refresh     = 1100 * time.Millisecond
	readTimeout = 900 * time.Millisecond // bears a slow store
	syncTimeout = 700 * time.Millisecond // covers the leader's wait for a change
	// stale is the age of the leader's knowledge at which the daemon reads the store itself.
	stale      = 1200 * time.Millisecond
	startDelay = 200 * time.Millisecond // longest random wait before the first election, besides the handicap
	reportSelf = 200 * time.Millisecond // between the leader's own reports

	// ample is the share of a core with which a daemon stands for the first election at once; startHandicap is
	// what one with nothing would wait.
	ample         = 0.5
	startHandicap = time.Second
	// A daemon with less than similar times the power of the strongest waits for lossHandicap after the loss of
	// a leader.
	similar      = 0.8
	lossHandicap = 250 * time.Millisecond
)

// Reports gathers what the daemon reports.
type LoadCollector interface {
	// Collect returns the load since the last call.
	Collect() (map[string][]fulmarsync.KeyCount, []fulmarsync.TargetLoad)
}

// Leader answers reports.
type Leader interface {
	Sync(ctx context.Context, r *fulmarsync.Report) (*fulmarsync.Update, error)
	Close()
}

// Dial connects to the leader at address.
type Dial func(ctx context.Context, address string) (Leader, error)

// Follower keeps the view current; see Run.
type Follower struct {
	lead    fulmarlead.Deps
	reader  *fulmarsnapshot.Reader
	views   *fulmarview.Holder
	reports LoadCollector
	dial    Dial
	log     *slog.Logger

	strongest float64   // power of the strongest daemon that a leader has known
	deferred  bool      // this daemon has left the election to stronger ones
	taken     time.Time // when the daemon last read the whole store
	silent    uint64    // nonce of the leader that did not answer last
	ignore    time.Time // until which that leader is not followed again

	inquiries errgroup.Group // of former leaders

	mu   sync.Mutex
	term *fulmarlead.Term
	ends map[int64]time.Time // by term: the time after which its grants have lapsed
}

// New returns a follower.
func New(d fulmarlead.Deps, reports LoadCollector, dial Dial) *Follower {
	f := &Follower{
		lead: d, reader: fulmarsnapshot.New(d.Store, d.Registry, d.Log, d.Now), views: d.Views, reports: reports, dial: dial,
		log: d.Log, ends: make(map[int64]time.Time),
	}
	f.lead.FindGrantLapse = f.latest
	return f
}

// Sync answers the report of another daemon; see fulmarsync.Handler.
func (f *Follower) Sync(ctx context.Context, r *fulmarsync.Report) (*fulmarsync.Update, error) {
	f.mu.Lock()
	term := f.term
	f.mu.Unlock()
	if term != nil {
		u, err := term.Sync(ctx, r)
		if err == nil {
			return u, nil
		}
		if p, ok := term.EndIfExpired(); ok {
			return &fulmarsync.Update{EndedTerm: &p}, nil
		}
		return nil, err
	}
	if at, ok := f.end(r.Versions.Term); ok {
		return &fulmarsync.Update{EndedTerm: &fulmarsync.EndedTerm{Term: r.Versions.Term, GrantsLapseIn: max(0, at.Sub(f.lead.Now()))}}, nil
	}
	return nil, fulmarsync.ErrNotLeader
}

// Run follows or leads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.inquiries.SetLimit(1)
	defer func() { _ = f.inquiries.Wait() }() // inquiries return no errors
	for ctx.Err() == nil {
		wait := lookEvery + rand.N(lookEvery/4)
		if err := f.step(ctx); err != nil {
			wait = failEvery + rand.N(failEvery/4)
		}
		fulmarclock.Sleep(ctx, wait)
	}
}

// step follows a leader while there is one that answers, or leads if nobody does. An error means that the store
// does not answer.
func (f *Follower) step(ctx context.Context) error {
	var leader *fulmarsnapshot.Leader
	var s *fulmarsnapshot.Snapshot
	var err error
	if view := f.views.Get(); !view.Ready() || f.lead.Now().Sub(view.AsOf) > refresh {
		if s, err = f.read(ctx); err == nil {
			leader = s.Leader
		}
	} else {
		leader, err = f.look(ctx)
	}
	switch {
	case err != nil:
		return err
	case leader == nil && f.lead.StoreForwarded():
		// The daemons through which the store is reached are better leaders.
	case leader == nil:
		f.stand(ctx, s)
	case leader.Nonce == f.silent && f.lead.Now().Before(f.ignore):
		// It would hold this daemon up for another timeout while its lease runs out.
	case leader.ID != f.lead.ID:
		f.deferred = false
		if f.follow(ctx, leader.Address, f.taken) {
			f.silent, f.ignore = leader.Nonce, f.lead.Now().Add(fulmarlead.LeaseDuration)
		}
	}
	return nil
}

// look returns who leads by a cheap read.
func (f *Follower) look(ctx context.Context) (*fulmarsnapshot.Leader, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.reader.Leader(ctx)
}

// stand stands for election, unless stronger daemons should do so first. s is nil if the store was not read.
func (f *Follower) stand(ctx context.Context, s *fulmarsnapshot.Snapshot) {
	if d := f.handicap(); d > 0 && !f.deferred {
		f.deferred = true
		fulmarclock.Sleep(ctx, d)
		return
	}
	f.deferred = false
	if s == nil {
		// The term reads the store itself; a read before the election would only delay it.
		view := f.views.Get()
		s = &fulmarsnapshot.Snapshot{ReadAt: view.AsOf, Routes: view.Routes, Catalog: view.Catalog}
	}
	f.run(ctx, s)
}

// handicap returns how long this daemon leaves an election to stronger ones, as the leader of a large fleet needs
// more than the weakest daemons have.
func (f *Follower) handicap() time.Duration {
	switch {
	case f.strongest == 0: // nobody has led yet
		return time.Duration(float64(startHandicap)*max(0, 1-f.lead.CPUShare/ample)) + rand.N(startDelay)
	case f.lead.CPUShare < similar*f.strongest:
		return lossHandicap
	}
	return 0
}

// read takes a snapshot and adopts it.
func (f *Follower) read(ctx context.Context) (*fulmarsnapshot.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	view := f.views.Get()
	s, err := f.reader.Read(ctx, view.Catalog, view.AsOf)
	if err != nil {
		return nil, err
	}
	f.taken = s.ReadAt
	f.strongest = max(f.strongest, s.Fleet.MaxCPUShare)
	f.views.Update(func(v *fulmarview.View) {
		if s.ReadAt.Before(v.AsOf) {
			return // the leader has told newer things meanwhile
		}
		v.Routes, v.Catalog, v.Owners, v.AsOf = s.Routes, s.Catalog, s.Spans(), s.ReadAt
	})
	return s, nil
}

// run leads if the election succeeds; it returns when the lease is lost.
func (f *Follower) run(ctx context.Context, s *fulmarsnapshot.Snapshot) {
	term, err := fulmarlead.Begin(ctx, f.lead, f.reader, s)
	if err != nil {
		level := slog.LevelWarn
		if errors.Is(err, fulmarkv.ErrConflict) {
			level = slog.LevelInfo
		}
		f.log.Log(ctx, level, "not elected", "error", err)
		return
	}
	f.set(term)
	defer f.set(nil)
	selfCtx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		for fulmarclock.Sleep(selfCtx, reportSelf) {
			term.RecordReport(f.report(fulmarsync.Versions{}))
		}
	})
	term.Run(ctx)
	cancel()
	group.Wait()
	if p, ok := term.EndIfExpired(); ok {
		f.heard(p)
	}
}

func (f *Follower) set(t *fulmarlead.Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term = t
}

func (f *Follower) report(have fulmarsync.Versions) *fulmarsync.Report {
	keys, targets := f.reports.Collect()
	return &fulmarsync.Report{ID: f.lead.ID, Address: f.lead.Address, CPUShare: f.lead.CPUShare, Versions: have, Keys: keys, Targets: targets}
}

// follow exchanges reports with the leader until it fails or its knowledge is stale, and reports whether it fell
// silent. read is when the store was last read here: what the leader knows of before must not replace that.
func (f *Follower) follow(ctx context.Context, address string, read time.Time) (silent bool) {
	leader, err := f.dial(ctx, address)
	if err != nil {
		f.log.Info("leader not reached", "address", address, "error", err)
		return false
	}
	defer leader.Close()
	f.log.Info("following", "address", address)
	state := &told{}
	if routes := f.views.Get().Routes; routes != nil {
		// Versions of configurations are those of the store, so that no leader has to send it again.
		state.routes, state.have.Config = routes, routes.Version()
	}
	for ctx.Err() == nil {
		began := f.lead.Now()
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		u, err := leader.Sync(callCtx, f.report(state.have))
		silent = callCtx.Err() != nil
		cancel()
		if err != nil {
			f.log.Info("leader lost", "address", address, "silent", silent, "error", err)
			return silent
		}
		if u.EndedTerm != nil {
			f.log.Info("leader lost", "address", address, "silent", false)
			f.heard(*u.EndedTerm)
			return false
		}
		// The answer was made after the call began, so what it says is at most that much older.
		known := began.Add(-u.Age)
		if f.lead.Now().Sub(known) > stale {
			f.log.Warn("leader does not reach the store", "address", address, "age", u.Age)
			f.inquiries.TryGo(func() error { f.inquire(ctx, address, state.have); return nil })
			return false
		}
		f.strongest = max(f.strongest, u.MaxCPUShare)
		if err := state.take(f.lead.Now(), u); err != nil {
			f.log.Error("configuration of the leader is not valid", "error", err)
			return false
		}
		if !known.Before(read) {
			f.adopt(state, u, known)
		}
	}
	return false
}

// told is what a leader has told so far.
type told struct {
	have    fulmarsync.Versions
	routes  *fulmarroute.Table
	catalog *fulmarcatalog.Catalog
	owners  map[string]fulmarview.Spans
	// contacts are the addresses of some other daemons.
	contacts []string
}

// take adds an update that came at now.
func (s *told) take(now time.Time, u *fulmarsync.Update) error {
	if u.Config != nil {
		config, err := u.Config.Unpack()
		if err != nil {
			return err
		}
		routes, err := fulmarroute.New(config)
		if err != nil {
			return err
		}
		s.routes = routes
	}
	for i := range u.Targets {
		u.Targets[i].SeenAt = now
	}
	if u.Complete || s.catalog == nil {
		s.catalog, s.owners = fulmarcatalog.New(u.Targets), u.Owners
	} else {
		if len(u.Targets) > 0 || len(u.RemovedTargets) > 0 {
			s.catalog = s.catalog.With(u.Targets, u.RemovedTargets)
		}
		if len(u.Owners) > 0 {
			owners := maps.Clone(s.owners)
			for name, changes := range u.Owners {
				owners[name] = owners[name].Apply(changes)
			}
			s.owners = owners
		}
	}
	if len(u.Contacts) > 0 {
		s.contacts = u.Contacts
	}
	s.have = u.Versions
	return nil
}

// adopt makes what the leader told the view.
func (f *Follower) adopt(s *told, u *fulmarsync.Update, known time.Time) {
	f.views.Update(func(v *fulmarview.View) {
		if s.routes != nil {
			if v.Routes == nil || v.Routes.Version() < s.routes.Version() {
				f.log.Info("configuration in force", "version", s.routes.Version(), "source", "leader")
			}
			v.Routes = s.routes
		}
		if s.catalog != nil {
			v.Catalog = s.catalog
		}
		if s.owners != nil {
			v.Owners = s.owners
		}
		if len(s.contacts) > 0 {
			v.Contacts = s.contacts
		}
		v.Daemons, v.AsOf = u.Daemons, known
	})
}
