package fulmarleader

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// longPollTimeout is the time after which a report is answered even if nothing has changed.
const longPollTimeout = 250 * time.Millisecond

const (
	// Every published change wakes all daemons, so the delay between two publications grows with the number of
	// daemons, within the given bounds.
	publishDelayPerDaemon = 300 * time.Microsecond
	minPublishDelay       = 5 * time.Millisecond
	maxPublishDelay       = 250 * time.Millisecond
	// limitPublishInterval is the least time between two publications of limits. Daemons ask for permits as soon as they
	// have received a limit themselves, and many targets may come to state limits one after another.
	limitPublishInterval = 500 * time.Millisecond
)

// ownerChangesPerContacts is the number of owner changes after which updates contain the contacts again.
const ownerChangesPerContacts = 16

// requestPublish makes publishLoop publish the current state.
func (t *Term) requestPublish() {
	select {
	case t.publishRequested <- struct{}{}:
	default:
	}
}

// publishLoop publishes changes and combines those that follow each other closely.
func (t *Term) publishLoop(ctx context.Context) {
	for {
		select {
		case <-t.publishRequested:
		case <-ctx.Done():
			return
		}
		t.mu.Lock()
		t.publish()
		daemons, _ := t.countDaemons(t.deps.Now())
		t.mu.Unlock()
		if !fulmarclock.Sleep(ctx, min(max(time.Duration(daemons)*publishDelayPerDaemon, minPublishDelay), maxPublishDelay)) {
			return
		}
	}
}

// publish updates the leader's own view and wakes the calls of Sync that wait for a change, if there is one. The caller
// holds mu.
func (t *Term) publish() {
	now := t.deps.Now()
	next := t.published
	next.versions.Term = t.lease.revision
	next.asOf = t.snapshot.ReadAt
	if t.snapshot.Routes != nil {
		next.routes = t.snapshot.Routes
		next.versions.Config = next.routes.Version()
	}
	if next.catalog == nil || !next.catalog.Equivalent(t.snapshot.Catalog) {
		next.catalog = t.snapshot.Catalog
		next.versions.Targets++
		t.catalogHistory.add(next.versions.Targets, next.catalog)
	}
	if owners := t.routingSpans(now); !equalSpans(owners, next.owners) {
		next.owners = owners
		next.versions.Owners++
		t.ownerHistory.add(next.versions.Owners, next.owners)
	}
	if t.hasLimitsToPublish(now) {
		next.versions.Limits, t.limitsPublishedAt = t.deps.Limits.Version(), now
	}
	versionsChanged := next.versions != t.published.versions
	t.published = next
	clear(t.cachedUpdates)
	daemons, _ := t.countDaemons(now)
	t.deps.Views.Update(func(v *fulmarview.View) {
		v.Routes, v.Catalog, v.Owners, v.Daemons, v.AsOf = next.routes, next.catalog, next.owners, daemons, next.asOf
		v.Contacts = t.fleet.contacts(now)
	})
	if versionsChanged {
		close(t.publishedChanged)
		t.publishedChanged = make(chan struct{})
	}
}

// hasLimitsToPublish reports whether limits have changed and may be published at now. The caller holds mu.
func (t *Term) hasLimitsToPublish(now time.Time) bool {
	return t.published.versions.Limits != t.deps.Limits.Version() && now.Sub(t.limitsPublishedAt) >= limitPublishInterval
}

// routingSpans returns the routing of keys to targets by service. The caller holds mu.
func (t *Term) routingSpans(now time.Time) map[string]fulmarview.Spans {
	out := make(map[string]fulmarview.Spans, len(t.services))
	for name, s := range t.services {
		var spans fulmarview.Spans
		for _, segment := range s.orders.Table().Segments() {
			spans = spans.Append(fulmarview.Span{From: segment.From, To: segment.To, Target: segment.Owner.Incarnation.ID, Ready: s.orders.OwnerHolds(now, segment)})
		}
		out[name] = spans
	}
	return out
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

// countDaemons returns the number of daemons, including this one, and the largest CPU share among the others. At the begin
// of the term it is at least the number that was known before: bounds of the fleet are divided by it, and daemons that have
// yet to report still exist. The caller holds mu.
func (t *Term) countDaemons(now time.Time) (count int, maxCPUShare float64) {
	count, maxCPUShare = t.fleet.countMembers(now)
	count++
	if now.Sub(t.beganAt) < memberTimeout {
		count = max(count, t.formerDaemons, t.snapshot.Fleet.Daemons)
	}
	return count, maxCPUShare
}

// RecordReport records the load in a report of another daemon or of the leader itself.
func (t *Term) RecordReport(r *fulmarleaderrpc.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if r.ID != t.deps.ID && t.fleet.recordReport(now, r.ID, r.Address, r.CPUShare) {
		t.requestPublish()
	}
	t.recordLimits(now, r.Limits)
	// The leader also receives answers of targets itself.
	if t.hasLimitsToPublish(now) {
		t.requestPublish()
	}
	for service, counts := range r.Keys {
		s := t.services[service]
		if s == nil {
			continue
		}
		s.rates.Advance(now)
		for _, k := range counts {
			s.rates.Add(k.Key, float64(k.Count))
		}
	}
	for _, l := range r.Targets {
		target, ok := t.snapshot.Catalog.Target(l.Target)
		if s := t.services[target.Service]; ok && s != nil {
			s.responseTimes.AddCompleted(now, l.Target, l.ResponseTime, l.Answered)
			s.responseTimes.AddAbandoned(now, l.Target, l.AbandonedTime, l.Abandoned)
		}
	}
}

// loadLogInterval is the time between two lines in the log about the answers to reports.
const loadLogInterval = time.Second

// answerCounts counts answers to reports.
type answerCounts struct{ unchanged, updates, complete, configs int }

// logLoad logs the load of the leader by reports regularly until ctx ends.
func (t *Term) logLoad(ctx context.Context) {
	for fulmarclock.Sleep(ctx, loadLogInterval) {
		t.mu.Lock()
		load := t.load
		t.load = answerCounts{}
		now := t.deps.Now()
		daemons, _ := t.countDaemons(now)
		share, age := t.fleet.reportingShare(now), now.Sub(t.published.asOf)
		t.mu.Unlock()
		t.deps.Log.Info("reports answered", "daemons", daemons, "reporting", share, "unchanged", load.unchanged, "updates", load.updates,
			"complete", load.complete, "configs", load.configs, "age", age)
	}
}

// count counts an answer to a report. The caller holds mu.
func (c *answerCounts) count(u *fulmarleaderrpc.Update) {
	c.updates++
	if u.Complete {
		c.complete++
	}
	if u.Config != nil {
		c.configs++
	}
}

// Sync answers a report with the changes since the versions in it. If there are none, it waits up to longPollTimeout
// for one.
func (t *Term) Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	t.RecordReport(r)
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		t.mu.Lock()
		now := t.deps.Now()
		if !now.Before(t.validUntil) || t.published.catalog == nil {
			t.mu.Unlock()
			return nil, fulmarleaderrpc.ErrNotLeader
		}
		s, changed := t.published, t.publishedChanged
		if s.versions != r.Versions {
			u := t.update(now, r.Versions)
			t.load.count(u)
			t.mu.Unlock()
			return u, nil
		}
		t.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			t.mu.Lock()
			defer t.mu.Unlock()
			t.load.unchanged++
			return t.baseUpdate(t.deps.Now(), s.versions), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// cachedUpdateLifetime is the time for which an update is reused for daemons with the same versions. The time fields of
// its targets are at most that old.
const cachedUpdateLifetime = 20 * time.Millisecond

// cachedUpdate is an update with the time of its creation.
type cachedUpdate struct {
	*fulmarleaderrpc.Update
	createdAt time.Time
}

// update returns the changes since the given versions, from the cache if possible. The caller holds mu.
func (t *Term) update(now time.Time, since fulmarleaderrpc.Versions) *fulmarleaderrpc.Update {
	cached, ok := t.cachedUpdates[since]
	if !ok || now.Sub(cached.createdAt) > cachedUpdateLifetime {
		cached = cachedUpdate{t.diffUpdate(now, since), now}
		t.cachedUpdates[since] = cached
	}
	u := *cached.Update
	u.Age = now.Sub(t.published.asOf)
	return &u
}

// diffUpdate computes the changes since the given versions. The caller holds mu.
func (t *Term) diffUpdate(now time.Time, since fulmarleaderrpc.Versions) *fulmarleaderrpc.Update {
	s := t.published
	u := t.baseUpdate(now, s.versions)
	otherTerm := since.Term != s.versions.Term
	if otherTerm || s.versions.Owners%ownerChangesPerContacts == 0 {
		u.Contacts = t.fleet.contacts(now)
	}
	if s.routes != nil && since.Config != s.versions.Config {
		u.Config = t.packConfig()
	}
	if otherTerm {
		u.Limits = t.packLimits(now, 0)
	} else if since.Limits != s.versions.Limits {
		u.Limits = t.packLimits(now, since.Limits)
	}
	catalog, hasTargets := t.catalogHistory.get(since.Targets)
	owners, hasOwners := t.ownerHistory.get(since.Owners)
	if otherTerm || !hasTargets || !hasOwners {
		u.Complete = true
		catalog, owners = fulmarcatalog.New(nil), nil
	}
	u.Targets, u.RemovedTargets = s.catalog.Diff(catalog)
	for i := range u.Targets {
		u.Targets[i] = u.Targets[i].AsOf(now)
	}
	u.Owners = make(map[string]fulmarview.Spans)
	for name, spans := range s.owners {
		if changes := spans.Diff(owners[name]); len(changes) > 0 {
			u.Owners[name] = changes
		}
	}
	return u
}

// packConfig returns the compressed configuration, which is cached by version. The caller holds mu.
func (t *Term) packConfig() fulmarleaderrpc.PackedConfig {
	if version := t.published.routes.Version(); t.packedConfig.version != version {
		data, err := fulmarleaderrpc.PackConfig(t.published.routes.Config())
		if err != nil {
			t.deps.Log.Error("configuration not compressed, so not sent to daemons", "version", version, "error", err)
			return nil
		}
		t.packedConfig = packedConfig{version, data}
	}
	return t.packedConfig.data
}

// packedConfig is a compressed configuration and its version.
type packedConfig struct {
	version uint64
	data    fulmarleaderrpc.PackedConfig
}

// baseUpdate returns an update to the given versions that contains no changes. The caller holds mu.
func (t *Term) baseUpdate(now time.Time, versions fulmarleaderrpc.Versions) *fulmarleaderrpc.Update {
	u := &fulmarleaderrpc.Update{Versions: versions, Age: now.Sub(t.published.asOf)}
	u.Daemons, u.MaxCPUShare = t.countDaemons(now)
	return u
}

// historySize is the number of recent versions for which a daemon gets only the differences.
const historySize = 32

// history is a ring buffer of the latest versions of a value.
type history[T any] struct {
	versions [historySize]int64
	values   [historySize]T
}

func (h *history[T]) add(version int64, value T) {
	h.versions[version%historySize], h.values[version%historySize] = version, value
}

// get returns the value of a version; ok is false if it has been overwritten. Versions begin with 1.
func (h *history[T]) get(version int64) (value T, ok bool) {
	if version <= 0 || h.versions[version%historySize] != version {
		return value, false
	}
	return h.values[version%historySize], true
}
