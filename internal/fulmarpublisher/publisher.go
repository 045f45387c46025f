package fulmarpublisher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
)

const (
	// LongPollTimeout is the time after which a call is answered even if nothing has changed.
	LongPollTimeout = 250 * time.Millisecond
	// limitInterval is the least time between two publications of limits. Daemons ask for permits as soon as they have
	// received a limit themselves, and many targets may come to state limits one after another.
	limitInterval = 500 * time.Millisecond
	// cachedUpdateLifetime is the time for which an update is reused for daemons with the same versions. The time fields
	// of its targets are at most that old.
	cachedUpdateLifetime = 20 * time.Millisecond
	// idleTimeout is the time without a call after which nothing is published: past states of a fleet with 900 targets
	// take several megabytes, and most daemons are asked by nobody.
	idleTimeout = 10 * time.Second
)

// ErrNotReady is returned while the daemon has no view.
var ErrNotReady = errors.New("fulmarpublisher: the daemon has no view of the fleet")

// Publisher passes a view on; it is safe for concurrent use.
type Publisher struct {
	views   *fulmarview.Holder
	limits  *fulmarlimit.Board
	crashes *fulmarcrash.Board
	log     *slog.Logger
	now     func() time.Time
	source  uint64

	mu                sync.Mutex
	published         state
	targetChanges     history[[]string] // ids
	ownerChanges      history[owners]
	changed           chan struct{} // closed when published changes
	cached            map[fulmarleaderrpc.Versions]cachedUpdate
	packedConfig      packedConfig
	limitsPublishedAt time.Time
	lastCall          time.Time
}

// state is a published view with its versions.
type state struct {
	*fulmarview.View
	versions fulmarleaderrpc.Versions
}

// cachedUpdate is an update with the time of its creation.
type cachedUpdate struct {
	*fulmarleaderrpc.Update
	createdAt time.Time
}

// packedConfig is a compressed configuration and its version.
type packedConfig struct {
	version uint64
	data    fulmarleaderrpc.PackedConfig
}

// New returns a publisher of the views, the limits and the crashes.
func New(views *fulmarview.Holder, limits *fulmarlimit.Board, crashes *fulmarcrash.Board, log *slog.Logger, now func() time.Time) *Publisher {
	return &Publisher{
		views: views, limits: limits, crashes: crashes, log: log, now: now, source: rand.Uint64N(1<<63-1) + 1,
		changed: make(chan struct{}), cached: make(map[fulmarleaderrpc.Versions]cachedUpdate),
	}
}

// Publish takes the current view over and wakes the calls that wait for a change, if there is one.
func (p *Publisher) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now.Sub(p.lastCall) < idleTimeout {
		p.publish(now)
		return
	}
	// The versions go on, so that daemons never take a new state for one that they have.
	p.published.View = nil
	clear(p.cached)
}

// publish is Publish for a publisher in use. The caller holds mu.
func (p *Publisher) publish(now time.Time) {
	view := p.views.Get()
	if !view.Ready() {
		return
	}
	next, old := state{view, p.published.versions}, p.published.View
	next.versions.Source, next.versions.Term, next.versions.Config = p.source, view.Term, view.Routes.Version()
	if old == nil {
		next.versions.Targets++
		p.targetChanges.start(next.versions.Targets)
	} else if ids := view.Catalog.ChangedIDs(old.Catalog); len(ids) > 0 {
		next.versions.Targets++
		p.targetChanges.add(next.versions.Targets, ids)
	}
	switch {
	case old == nil:
		next.versions.Owners++
		p.ownerChanges.start(next.versions.Owners)
	case !equalSpans(view.Owners, old.Owners):
		next.versions.Owners++
		p.ownerChanges.add(next.versions.Owners, owners(view.Owners).changedSince(old.Owners))
	}
	if old == nil || !old.Relays.Equal(view.Relays) || len(view.Contacts) > len(old.Contacts) {
		next.versions.Relays++
	}
	if p.published.versions.Limits != p.limits.Version() && now.Sub(p.limitsPublishedAt) >= limitInterval {
		next.versions.Limits, p.limitsPublishedAt = p.limits.Version(), now
	}
	next.versions.Crashes = p.crashes.Version()
	changed := next.versions != p.published.versions
	p.published = next
	clear(p.cached)
	if changed {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

func equalSpans(a, b map[string]fulmarview.Spans) bool {
	if len(a) != len(b) {
		return false
	}
	for name, spans := range a {
		if !slices.Equal(spans, b[name]) {
			return false
		}
	}
	return true
}

// Wait returns the changes since the versions in a report. If there are none, it waits up to LongPollTimeout for one.
func (p *Publisher) Wait(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	began := p.now()
	timer := time.NewTimer(LongPollTimeout)
	defer timer.Stop()
	for timedOut := false; ; {
		u, changed, err := p.update(r, timedOut)
		if err != nil {
			return nil, err
		}
		if u != nil {
			u.Waited = p.now().Sub(began)
			return u, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// update returns the changes since the versions in a report. If there are none, it returns an empty update if timedOut is
// set, else no update and a channel that is closed at the next change.
func (p *Publisher) update(r *fulmarleaderrpc.Report, timedOut bool) (*fulmarleaderrpc.Update, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.lastCall = now
	if p.published.View == nil {
		if p.publish(now); p.published.View == nil {
			return nil, nil, ErrNotReady
		}
	}
	have := p.known(r)
	if have == p.published.versions {
		if timedOut {
			return p.baseUpdate(now), nil, nil
		}
		return nil, p.changed, nil
	}
	cached, ok := p.cached[have]
	if !ok || now.Sub(cached.createdAt) > cachedUpdateLifetime {
		cached = cachedUpdate{p.diff(now, have), now}
		p.cached[have] = cached
	}
	u := *cached.Update
	u.Age = now.Sub(p.published.AsOf)
	return &u, nil, nil
}

// known returns the versions of the state that the sender of a report has. Daemons of earlier builds know only those that
// leaders number in their terms, and do not return the others.
func (p *Publisher) known(r *fulmarleaderrpc.Report) fulmarleaderrpc.Versions {
	have := r.Versions
	if !r.KnowsCrashes {
		have.Crashes = p.published.versions.Crashes
	}
	if !r.KnowsRelays && have.Term == p.published.versions.Term {
		have.Source, have.Relays = p.source, p.published.versions.Relays
	}
	return have
}

// ownerChangesPerContacts is the number of owner changes after which updates contain the contacts again.
const ownerChangesPerContacts = 16

// diff returns the changes since the given versions. The caller holds mu.
func (p *Publisher) diff(now time.Time, have fulmarleaderrpc.Versions) *fulmarleaderrpc.Update {
	s, u := p.published, p.baseUpdate(now)
	otherSource := have.Source != s.versions.Source
	if otherSource || have.Relays != s.versions.Relays {
		u.Relays, u.Contacts = s.Relays, s.Contacts
	} else if s.versions.Owners%ownerChangesPerContacts == 0 {
		u.Contacts = s.Contacts
	}
	if have.Config != s.versions.Config {
		u.Config = p.packConfig()
	}
	if after := have.Crashes; otherSource || after != s.versions.Crashes {
		if otherSource {
			after = 0
		}
		u.Crashes = fulmarcrash.NewAged(now, p.crashes.Changes(after, s.versions.Crashes))
	}
	if otherSource {
		u.Limits = p.packLimits(now, 0)
	} else if have.Limits != s.versions.Limits {
		u.Limits = p.packLimits(now, have.Limits)
	}
	targets, knowsTargets := p.targetChanges.between(have.Targets, s.versions.Targets)
	changed, knowsOwners := p.ownerChanges.between(have.Owners, s.versions.Owners)
	if otherSource || !knowsTargets || !knowsOwners {
		u.Complete, u.Targets, u.Owners = true, s.Catalog.Targets(), owners(s.Owners).changedSince(nil)
	} else {
		u.Owners = owners(s.Owners).where(changed)
		for _, id := range union(targets) {
			if t, ok := s.Catalog.Target(id); ok {
				u.Targets = append(u.Targets, t)
			} else {
				u.RemovedTargets = append(u.RemovedTargets, id)
			}
		}
	}
	for i := range u.Targets {
		u.Targets[i] = u.Targets[i].AsOf(now)
	}
	return u
}

// packLimits returns the published limits that have changed after a version. The caller holds mu.
func (p *Publisher) packLimits(now time.Time, since int64) []fulmarleaderrpc.TargetLimit {
	statements := p.limits.Changes(since, p.published.versions.Limits)
	out := make([]fulmarleaderrpc.TargetLimit, 0, len(statements))
	for _, s := range statements {
		out = append(out, fulmarleaderrpc.PackLimit(now, s))
	}
	return out
}

// packConfig returns the compressed configuration, which is cached by version. The caller holds mu.
func (p *Publisher) packConfig() fulmarleaderrpc.PackedConfig {
	if version := p.published.Routes.Version(); p.packedConfig.version != version {
		data, err := fulmarleaderrpc.PackConfig(p.published.Routes.Config())
		if err != nil {
			p.log.Error("configuration not compressed, so not sent to daemons", "version", version, "error", err)
			return nil
		}
		p.packedConfig = packedConfig{version, data}
	}
	return p.packedConfig.data
}

// baseUpdate returns an update that contains no changes. The caller holds mu.
func (p *Publisher) baseUpdate(now time.Time) *fulmarleaderrpc.Update {
	s := p.published
	return &fulmarleaderrpc.Update{
		Versions: s.versions, Age: now.Sub(s.AsOf), ConfigLead: s.ConfigAsOf.Sub(s.AsOf), Daemons: s.Daemons, MaxCPUShare: s.MaxCPUShare, Leader: s.Leader, Hops: s.Hops,
	}
}
