package fulmarlead

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// longPoll is how long a report waits for a change before it is answered without one.
const longPoll = 250 * time.Millisecond

const (
	// Each change wakes all daemons, so changes wait for one another: publishPace for each daemon, within bounds.
	publishPace = 300 * time.Microsecond
	publishMin  = 5 * time.Millisecond
	publishMax  = 250 * time.Millisecond
)

// contactsEvery is the number of changes of owners between two updates that repeat the contacts.
const contactsEvery = 16

// announce lets publishLoop publish what has changed.
func (t *Term) announce() {
	select {
	case t.stale <- struct{}{}:
	default:
	}
}

// publishLoop publishes changes, those that come shortly after one another together.
func (t *Term) publishLoop(ctx context.Context) {
	for {
		select {
		case <-t.stale:
		case <-ctx.Done():
			return
		}
		t.mu.Lock()
		t.publish()
		daemons, _ := t.daemons(t.deps.Now())
		t.mu.Unlock()
		if !fulmarclock.Sleep(ctx, min(max(time.Duration(daemons)*publishPace, publishMin), publishMax)) {
			return
		}
	}
}

// publish makes what the leader knows its own view and wakes the reports that wait; mu is held.
func (t *Term) publish() {
	now := t.deps.Now()
	next := t.state
	next.have.Term = t.seat.revision
	next.known = t.snapshot.ReadAt
	if t.snapshot.Routes != nil {
		next.routes = t.snapshot.Routes
		next.have.Config = next.routes.Version()
	}
	if next.catalog == nil || !next.catalog.Equivalent(t.snapshot.Catalog) {
		next.catalog = t.snapshot.Catalog
		next.have.Targets++
		t.lists.add(next.have.Targets, next.catalog)
	}
	if owners := t.spans(now); !equal(owners, next.owners) {
		next.owners = owners
		next.have.Owners++
		t.owned.add(next.have.Owners, next.owners)
	}
	woken := next.have != t.state.have
	t.state = next
	clear(t.answers)
	daemons, _ := t.daemons(now)
	t.deps.Views.Update(func(v *fulmarview.View) {
		v.Routes, v.Catalog, v.Owners, v.Daemons, v.AsOf = next.routes, next.catalog, next.owners, daemons, next.known
		v.Contacts = t.fleet.contacts(now)
	})
	if woken {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// spans returns how requests are routed; mu is held.
func (t *Term) spans(now time.Time) map[string]fulmarview.Spans {
	out := make(map[string]fulmarview.Spans, len(t.shards))
	for name, s := range t.shards {
		var spans fulmarview.Spans
		for _, g := range s.book.Table().Segments() {
			spans = spans.Append(fulmarview.Span{From: g.From, To: g.To, Target: g.Owner.Incarnation.ID, Ready: s.book.OwnerHolds(now, g)})
		}
		out[name] = spans
	}
	return out
}

func equal(a, b map[string]fulmarview.Spans) bool {
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

// daemons returns the number of daemons with this one, and the power of the strongest of the others; mu is held.
func (t *Term) daemons(now time.Time) (count int, strongest float64) {
	count, strongest = t.fleet.sum(now)
	return count + 1, strongest
}

// Note records a report of a daemon or of the leader itself.
func (t *Term) RecordReport(r *fulmarsync.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if r.ID != t.deps.ID && t.fleet.note(now, r.ID, r.Address, r.CPUShare) {
		t.announce()
	}
	for service, counts := range r.Keys {
		s := t.shards[service]
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
		if s := t.shards[target.Service]; ok && s != nil {
			s.times.AddCompleted(now, l.Target, l.ResponseTime, l.Answered)
			s.times.AddAbandoned(now, l.Target, l.AbandonedTime, l.Abandoned)
		}
	}
}

// Sync answers a report with what is newer, after a wait if nothing is.
func (t *Term) Sync(ctx context.Context, r *fulmarsync.Report) (*fulmarsync.Update, error) {
	t.RecordReport(r)
	timer := time.NewTimer(longPoll)
	defer timer.Stop()
	for {
		t.mu.Lock()
		now := t.deps.Now()
		if !now.Before(t.valid) || t.state.catalog == nil {
			t.mu.Unlock()
			return nil, fulmarsync.ErrNotLeader
		}
		s, changed := t.state, t.changed
		if s.have != r.Versions {
			u := t.update(now, r.Versions)
			t.mu.Unlock()
			return u, nil
		}
		t.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			t.mu.Lock()
			defer t.mu.Unlock()
			return t.brief(t.deps.Now(), s.have), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answerFor is how long an update serves all daemons that have the same versions. The times of its targets are at
// most that old.
const answerFor = 20 * time.Millisecond

// answer is an update that was made lately.
type answer struct {
	*fulmarsync.Update
	made time.Time
}

// update returns what is newer than have; mu is held.
func (t *Term) update(now time.Time, have fulmarsync.Versions) *fulmarsync.Update {
	a, ok := t.answers[have]
	if !ok || now.Sub(a.made) > answerFor {
		a = answer{t.differences(now, have), now}
		t.answers[have] = a
	}
	u := *a.Update
	u.Age = now.Sub(t.state.known)
	return &u
}

// differences returns what is newer than have; mu is held.
func (t *Term) differences(now time.Time, have fulmarsync.Versions) *fulmarsync.Update {
	s := t.state
	u := t.brief(now, s.have)
	other := have.Term != s.have.Term
	if other || s.have.Owners%contactsEvery == 0 {
		u.Contacts = t.fleet.contacts(now)
	}
	if s.routes != nil && have.Config != s.have.Config {
		u.Config = t.packed()
	}
	catalog, hasTargets := t.lists.get(have.Targets)
	owners, hasOwners := t.owned.get(have.Owners)
	if other || !hasTargets || !hasOwners {
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

// packed returns the configuration as it is sent; mu is held.
func (t *Term) packed() fulmarsync.PackedConfig {
	if version := t.state.routes.Version(); t.packing.version != version {
		data, err := fulmarsync.PackConfig(t.state.routes.Config())
		if err != nil {
			t.deps.Log.Error("configuration not sent", "version", version, "error", err)
			return nil
		}
		t.packing = packing{version, data}
	}
	return t.packing.data
}

// packing is a configuration that was packed before.
type packing struct {
	version uint64
	data    fulmarsync.PackedConfig
}

// brief returns an update without news; mu is held.
func (t *Term) brief(now time.Time, have fulmarsync.Versions) *fulmarsync.Update {
	u := &fulmarsync.Update{Versions: have, Age: now.Sub(t.state.known)}
	u.Daemons, u.MaxCPUShare = t.daemons(now)
	return u
}

// kept is the number of states of before that daemons get only the differences to.
const kept = 32

// history holds the latest versions of a state.
type history[T any] struct {
	versions [kept]int64
	values   [kept]T
}

func (h *history[T]) add(version int64, value T) {
	h.versions[version%kept], h.values[version%kept] = version, value
}

// get returns the state of a version; ok is false if it is no longer held. Versions begin with 1.
func (h *history[T]) get(version int64) (value T, ok bool) {
	if version <= 0 || h.versions[version%kept] != version {
		return value, false
	}
	return h.values[version%kept], true
}
