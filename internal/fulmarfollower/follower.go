package fulmarfollower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmaraggregate"
	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarconfigreader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarkvmonitor"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarpublisher"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrecovery"
)

const (
	// leaderCheckInterval is the time between checks for a leader, and storeRetryInterval that between calls to a
	// failing store.
	leaderCheckInterval = 250 * time.Millisecond
	storeRetryInterval  = time.Second
	// startCheckInterval replaces leaderCheckInterval for a daemon that has no view yet, and so refuses all requests.
	startCheckInterval = 100 * time.Millisecond
	// maxViewAge is the age of the view at which a daemon without a leader reads the whole store itself.
	maxViewAge = 1100 * time.Millisecond
	// viewCheckInterval is the time between two checks of the view's age while a leader is followed.
	viewCheckInterval = 100 * time.Millisecond
	readTimeout       = 900 * time.Millisecond // allows for a slow store
	// leaderReadTimeout bounds the read of one key after a read of all keys has failed. A slow store takes 250 ms.
	leaderReadTimeout = 300 * time.Millisecond
	syncTimeout       = 700 * time.Millisecond // longer than the leader waits for a change
	// maxLeaderAge is the age of the leader's state at which the daemon warns of it.
	maxLeaderAge = 1200 * time.Millisecond
	// maxRelayAge is the age of a relay's state at which the daemon tries another relay. It allows a relay that has lost
	// its leader to read the store first.
	maxRelayAge            = 1700 * time.Millisecond
	maxFirstElectionJitter = 200 * time.Millisecond // upper bound of the random part of the delay of the first election
	selfReportInterval     = 200 * time.Millisecond // between the load reports of the leader to itself

	// A daemon with a CPU share of at least undelayedCPUShare stands for the first election after the random delay only.
	// Below that, a further delay is added, which grows linearly up to maxFirstElectionDelay at a share of 0.
	undelayedCPUShare     = 0.5
	maxFirstElectionDelay = time.Second
	// After the loss of a leader, a daemon whose CPU share is less than minComparableShare times the largest known one
	// waits for lossElectionDelay before it stands for election.
	minComparableShare = 0.8
	lossElectionDelay  = 500 * time.Millisecond
)

// LoadCollector collects the load that the daemon reports to the leader.
type LoadCollector interface {
	// Collect returns the load since the last call.
	Collect() (map[string][]fulmarleaderrpc.KeyCount, []fulmarleaderrpc.TargetLoad)
}

// Leader is a connection to the leader.
type Leader interface {
	Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error)
	Permits(ctx context.Context, r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error)
	Close()
}

// Dial connects to the leader at address.
type Dial func(ctx context.Context, address string) (Leader, error)

// Follower keeps the view of a daemon current, as a follower or as the leader; see Run.
type Follower struct {
	deps   fulmarleader.Deps
	reader *fulmarsnapshot.Reader
	config *fulmarconfigreader.Reader
	views  *fulmarview.Holder
	loads  LoadCollector
	dial   Dial
	log    *slog.Logger

	publisher *fulmarpublisher.Publisher
	children  *fulmaraggregate.Aggregate // reports of daemons that follow this one

	relayRetryAt  map[string]time.Time // by address: when a relay may be tried again
	startedAt     time.Time
	nextStoreRead time.Time // when the daemon may read the store although relays should; zero if not needed

	electionAt        time.Time // this daemon stands for election then, unless a stronger one has been elected; zero if not needed
	unresponsiveNonce uint64    // nonce of the last leader that did not answer
	ignoreLeaderUntil time.Time // that leader is not followed again before then

	memory *fulmarrecovery.Memory // of a term of this daemon that a restore of the store ended, nil for none
	led    ledEra

	permits permitLink

	mu            sync.Mutex
	maxCPUShare   float64   // largest CPU share of a daemon that leaders have reported or stored
	lastStoreRead time.Time // when the daemon last read the whole store
	term          *fulmarleader.Term
	leaderAddress string                           // of the leader that this daemon follows, empty for none
	grantLapse    map[fulmarera.Revision]time.Time // by term: when all of its grants have lapsed
}

// New returns a follower.
func New(d fulmarleader.Deps, loads LoadCollector, dial Dial) *Follower {
	store := fulmarkvmonitor.New(d.Store, d.Now)
	d.Store = store // the leader's renewals show, too, whether the store answers
	config := fulmarconfigreader.New(store, d.Registry.ConfigKey, d.Registry.Config, d.Log)
	f := &Follower{
		deps: d, reader: fulmarsnapshot.New(store, d.Registry, config, d.Log, d.Now), config: config, views: d.Views, loads: loads, dial: dial,
		log: d.Log, grantLapse: make(map[fulmarera.Revision]time.Time), children: fulmaraggregate.New(), relayRetryAt: make(map[string]time.Time),
		publisher: fulmarpublisher.New(d.Views, d.Limits, d.Crashes, d.Log, d.Now),
	}
	f.deps.Publisher = f.publisher
	f.startedAt = d.Now()
	f.deps.FindGrantLapse = f.findGrantLapse
	return f
}

// Sync answers the report of another daemon: as the leader, as a relay if the report asks for that, or with the time at which
// the grants of the term in the report lapse, if this daemon knows it; see fulmarleaderrpc.Handler.
func (f *Follower) Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	f.mu.Lock()
	term := f.term
	f.mu.Unlock()
	if term != nil {
		u, err := term.Sync(ctx, r)
		if err == nil {
			return u, nil
		}
		if ended, ok := term.EndIfExpired(); ok {
			return &fulmarleaderrpc.Update{EndedTerm: &ended}, nil
		}
		return nil, err
	}
	if r.ToRelay {
		return f.relay(ctx, r)
	}
	if at, ok := f.knownLapse(r.Versions.Term); ok {
		return &fulmarleaderrpc.Update{EndedTerm: &fulmarleaderrpc.EndedTerm{Term: r.Versions.Term, GrantsLapseIn: max(0, at.Sub(f.deps.Now()))}}, nil
	}
	return nil, fulmarleaderrpc.ErrNotLeader
}

// Run follows the leader, or leads itself, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.publishCrashes(ctx) })
	group.Go(func() { f.followConfig(ctx) })
	for ctx.Err() == nil {
		wait := leaderCheckInterval + rand.N(leaderCheckInterval/4)
		if !f.views.Get().Ready() {
			wait = startCheckInterval + rand.N(startCheckInterval/4)
		}
		if err := f.followOrLead(ctx); err != nil {
			wait = storeRetryInterval + rand.N(storeRetryInterval/4)
		}
		fulmarclock.Sleep(ctx, wait)
	}
}

// followOrLead follows a relay or the leader while one answers, or stands for election if there is none. An error means that
// the store does not answer.
func (f *Follower) followOrLead(ctx context.Context) error {
	f.followRelays(ctx)
	if ctx.Err() != nil {
		return nil
	}
	leader, s, err := f.findLeader(ctx)
	switch {
	case err != nil:
		return err
	case leader == nil && f.deps.StoreForwarded():
		// This daemon reaches the store only through other daemons, so one of those should lead.
	case leader == nil:
		f.runForLeader(ctx, s)
	case leader.Nonce == f.unresponsiveNonce && f.deps.Now().Before(f.ignoreLeaderUntil):
		// The leader did not answer, so following it again would cost another timeout while its lease runs out.
	case leader.ID != f.deps.ID:
		f.electionAt = time.Time{}
		switch f.follow(ctx, leader.Address, false) {
		case silent:
			f.unresponsiveNonce, f.ignoreLeaderUntil = leader.Nonce, f.deps.Now().Add(f.deps.LeaseTTL())
		case referred:
			f.followRelays(ctx)
		}
	}
	return nil
}

// findLeader returns the leader, or nil if there is none. If the view is old it reads all keys and returns the snapshot as well.
func (f *Follower) findLeader(ctx context.Context) (*fulmarsnapshot.Leader, *fulmarsnapshot.Snapshot, error) {
	view := f.views.Get()
	if view.Ready() && f.deps.Now().Sub(view.AsOf) <= maxViewAge || !f.mayReadStore(ctx) {
		leader, err := f.readLeader(ctx, readTimeout)
		return leader, nil, err
	}
	s, err := f.readStore(ctx)
	if err == nil {
		return s.Leader, s, nil
	}
	// A weak link may be too slow for all keys, but not for the one of the leader. Without a leader the error stands: a daemon
	// that cannot read all keys cannot lead either.
	leader, leaderErr := f.readLeader(ctx, leaderReadTimeout)
	if leaderErr != nil {
		f.log.Info("leader not read", "error", leaderErr)
	}
	if leader == nil {
		return nil, nil, err
	}
	return leader, nil, nil
}

// readLeader reads only the leader record, which is cheaper than a snapshot.
func (f *Follower) readLeader(ctx context.Context, timeout time.Duration) (*fulmarsnapshot.Leader, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.reader.Leader(ctx)
}

// runForLeader stands for election, unless stronger daemons should do so first. s is nil if the store was not read.
func (f *Follower) runForLeader(ctx context.Context, s *fulmarsnapshot.Snapshot) {
	now := f.deps.Now()
	if f.electionAt.IsZero() {
		if d := f.electionDelay(); d > 0 {
			f.electionAt = now.Add(d)
		}
	}
	if now.Before(f.electionAt) || f.awaitsFormerLeader(now) {
		return // Run looks for a leader and for relays again meanwhile
	}
	f.electionAt = time.Time{}
	if s == nil {
		s = f.lastSnapshot()
	}
	f.lead(ctx, s)
}

// electionDelay returns how long this daemon waits before it stands for election, so that stronger ones are elected: the
// leader of a large fleet needs more CPU than the weakest daemons have.
func (f *Follower) electionDelay() time.Duration {
	f.mu.Lock()
	maxCPUShare := f.maxCPUShare
	f.mu.Unlock()
	switch {
	case maxCPUShare == 0: // no daemon has led yet
		return time.Duration(float64(maxFirstElectionDelay)*max(0, 1-f.deps.CPUShare/undelayedCPUShare)) + rand.N(maxFirstElectionJitter)
	case f.deps.CPUShare < minComparableShare*maxCPUShare:
		return lossElectionDelay
	}
	return 0
}

// readStore reads a snapshot of the store and updates the view from it.
func (f *Follower) readStore(ctx context.Context) (*fulmarsnapshot.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	view := f.views.Get()
	f.deps.Metrics.Count("control.store_read")
	began := f.deps.Now()
	s, err := f.reader.Read(ctx, view.Catalog, view.AsOf)
	if err != nil {
		f.deps.Metrics.Count("control.store_read_failed")
		f.log.Info("whole store not read", "took", f.deps.Now().Sub(began), "age", began.Sub(view.AsOf), "error", err)
		return nil, err
	}
	f.log.Info("whole store read", "took", f.deps.Now().Sub(s.ReadAt), "targets", s.Catalog.Len(), "age", s.ReadAt.Sub(view.AsOf))
	f.mu.Lock()
	f.lastStoreRead = s.ReadAt
	f.mu.Unlock()
	f.recordCPUShare(s.Fleet.MaxCPUShare)
	f.deps.RecordCrashes(s.Crashes, "store")
	f.views.Update(func(v *fulmarview.View) {
		if s.ReadAt.Before(v.AsOf) {
			return // the leader has sent newer state in the meantime
		}
		v.Routes, v.Catalog, v.Owners, v.AsOf, v.Hops, v.Leader = s.Routes, s.Catalog, s.Spans(), s.ReadAt, 0, ""
		v.Daemons, v.MaxCPUShare = max(v.Daemons, s.Fleet.Daemons), max(v.MaxCPUShare, s.Fleet.MaxCPUShare)
		if len(v.Relays) == 0 {
			v.Relays = s.Fleet.Relays
		}
	})
	f.publisher.Publish()
	return s, nil
}

// keepViewFresh reads the store whenever the view is old, until ctx ends. It runs beside the reports to the leader, which counts on
// them and may take long to answer the first one: relays would pass on an old view meanwhile.
func (f *Follower) keepViewFresh(ctx context.Context) {
	for fulmarclock.Sleep(ctx, viewCheckInterval) {
		if f.deps.Now().Sub(f.views.Get().AsOf) <= maxViewAge || !f.mayReadStore(ctx) {
			continue
		}
		if _, err := f.readStore(ctx); err != nil {
			fulmarclock.Sleep(ctx, storeRetryInterval)
		}
	}
}

// recordCPUShare records the CPU share of another daemon.
func (f *Follower) recordCPUShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxCPUShare = max(f.maxCPUShare, share)
}

// latestStoreRead returns when this daemon last read the whole store.
func (f *Follower) latestStoreRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStoreRead
}

// lead stands for election and, if elected, leads until the lease is lost. After a term that a restore of the store has ended, it
// stands again at once: no other daemon knows as much of the grants.
func (f *Follower) lead(ctx context.Context, s *fulmarsnapshot.Snapshot) {
	for f.leadOnce(ctx, s) && ctx.Err() == nil {
		s = f.lastSnapshot()
	}
}

// leadOnce stands for election, leads if elected, and reports whether to stand again at once: a restore of the store has
// ended the term, or still shows it as the current one.
func (f *Follower) leadOnce(ctx context.Context, s *fulmarsnapshot.Snapshot) (again bool) {
	term, err := fulmarleader.Begin(ctx, f.deps, f.reader, s, f.past())
	if err != nil {
		level := slog.LevelWarn
		if errors.Is(err, fulmarkv.ErrConflict) {
			level = slog.LevelInfo
		}
		f.log.Log(ctx, level, "not elected as leader", "error", err)
		return f.memory.IsOf(f.deps.Eras.Current().Era) && errors.Is(err, fulmarkv.ErrConflict) && f.deps.EndRestoredTerm(ctx)
	}
	f.noteTerm(term.Revision())
	f.setTerm(term)
	defer f.setTerm(nil)
	selfCtx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		for fulmarclock.Sleep(selfCtx, selfReportInterval) {
			term.RecordReport(f.report(fulmarleaderrpc.Versions{}))
		}
	})
	term.Run(ctx)
	cancel()
	group.Wait()
	if ended, ok := term.EndIfExpired(); ok {
		f.recordEndedTerm(ended)
	}
	if m := term.Memory(); m != nil {
		f.memory, again = m, true
	}
	return again
}

// HasLeader reports whether this daemon leads, or is told by a leader what happens, with a state that is not too old.
func (f *Follower) HasLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return (f.term != nil || f.leaderAddress != "") && f.deps.Now().Sub(f.views.Get().AsOf) <= maxRelayAge
}

// leads reports whether this daemon leads.
func (f *Follower) leads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term != nil
}

// setTerm sets the term in which this daemon leads, or nil if it does not lead.
func (f *Follower) setTerm(t *fulmarleader.Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term = t
}

// report returns a report of the load since the last one, of the daemons that follow this one as well, and of the versions
// that this daemon has.
func (f *Follower) report(versions fulmarleaderrpc.Versions) *fulmarleaderrpc.Report {
	keys, targets := f.loads.Collect()
	r := &fulmarleaderrpc.Report{
		ID: f.deps.ID, Address: f.deps.Address, DC: f.deps.DC, CPUShare: f.deps.CPUShare, Versions: versions, Keys: keys, Targets: targets, KnowsRelays: true,
	}
	f.children.Fill(f.deps.Now(), r)
	return r
}
