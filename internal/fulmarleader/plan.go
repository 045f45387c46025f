package fulmarleader

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// planLoop assigns keys to targets and writes the ownership tables until the lease is lost, and then calls cancel.
func (t *Term) planLoop(ctx context.Context, cancel context.CancelFunc) {
	for {
		if !t.holdsLease(t.deps.Now()) {
			cancel()
			return
		}
		if err := t.plan(ctx); err != nil {
			t.deps.Log.Warn("ownership tables not written", "term", t.lease.revision, "error", err)
			if errors.Is(err, fulmarkv.ErrConflict) {
				cancel()
				return
			}
		}
		if !fulmarclock.Sleep(ctx, planInterval) {
			return
		}
	}
}

// plan computes the ownership tables and writes them if they differ from the current ones.
func (t *Term) plan(ctx context.Context) error {
	if t.isHeld() {
		return nil
	}
	tables, changed := t.computeTables()
	if !changed {
		return nil
	}
	revision, err := t.writeTables(ctx, tables)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recovery.mustWrite {
		t.deps.Log.Info("records written for the first time in the era", "term", t.lease.revision, "basis", t.recovery.basis.String(), "tables", len(tables), "crashes", t.deps.Crashes.Version())
	}
	t.tablesRevision, t.recovery.mustWrite = revision, false
	for name, table := range tables {
		t.services[name].orders.Commit(table)
	}
	t.startWorkers(t.deps.Now())
	t.requestPublish()
	t.wakeWorkers()
	return nil
}

// computeTables returns the planned tables of all keyed services and whether they, or the records of the daemons and of the
// crashes, which are written with them, changed.
func (t *Term) computeTables() (tables map[string]fulmarrange.Table, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	defer t.countPlan(now)
	tables, changed = make(map[string]fulmarrange.Table, len(t.services)), t.recovery.mustWrite
	t.setGrantPace()
	for name, s := range t.services {
		s.rates.Advance(now)
		s.orders.Expire(now)
		table, pruned := t.pruneTable(now, s)
		targets := t.eligibleTargets(now, name, s)
		next := fulmarassign.Plan(table, targets, s.rates, fulmarassign.DefaultPolicy)
		if t.updateHotKeyRates(name, s, fulmarassign.HotKeyRates(next, targets, s.rates, s.hotKeyRates)) {
			t.requestPublish()
		}
		if pruned || next.MaxFence() != table.MaxFence() {
			changed = true
		}
		next = next.WithExtendedGrants(s.orders.ExtendedGrants(now))
		s.orders.SetPendingTable(next)
		tables[name] = next
	}
	if _, grown := t.fleetRecord(now); grown || t.deps.Crashes.Version() != t.crashesWritten {
		changed = true
	}
	return tables, changed
}

// pruneTable returns the current table without prior owners that can no longer hold keys, and with new fences for
// owners whose process may have been replaced by another one. It reports whether the table differs from the current one.
func (t *Term) pruneTable(now time.Time, s *keyedService) (fulmarrange.Table, bool) {
	table, changed := s.orders.Table(), false
	obsolete := s.orders.SegmentsWithObsoletePrior()
	if len(obsolete) == 0 {
		s.obsoleteSince = time.Time{}
	} else if s.obsoleteSince.IsZero() {
		s.obsoleteSince = now
	}
	if len(obsolete) > 0 && now.Sub(s.obsoleteSince) >= priorRemovalDelay {
		s.obsoleteSince = time.Time{}
		changed = true
		table = table.WithoutPriorClaims(obsolete)
	}
	var renewed []fulmarrange.Segment
	for _, segment := range table.Segments() {
		if segment.HasOwner() && s.orders.NeedsNewFence(segment.Owner.Incarnation) {
			renewed = append(renewed, segment)
		}
	}
	if len(renewed) > 0 {
		table, changed = table.WithRenewedFences(renewed), true
	}
	return table, changed
}

// eligibleTargets returns the targets that can own keys of a service. The caller holds mu.
func (t *Term) eligibleTargets(now time.Time, service string, s *keyedService) []fulmarassign.Target {
	var out []fulmarassign.Target
	newestLimit := t.newestLimit(service)
	keeping := t.keepingKeys(now, service, s)
	for _, target := range t.snapshot.Catalog.Service(service) {
		incarnation := target.Incarnation()
		if t.silence.IsLost(now, target.DC) {
			// The target is asked with probes from now on, whose answers also end the silence of the data centre.
			s.reach.RecordLoss(now, incarnation)
		}
		state := s.reach.State(now, incarnation)
		if s.reachable[incarnation] != state.Reachable {
			s.reachable[incarnation] = state.Reachable
			t.deps.Log.Info("reachability of target changed", "target", incarnation.ID, "reachable", state.Reachable,
				"failures", state.Failures, "since", state.Failing, "unsent", state.Unsent, "trial", state.Trial)
		}
		unanswered := s.orders.HasUnansweredGrant(now, incarnation)
		// A leaving target with unanswered grants stays eligible, and so keeps its keys, until it answers a grant of this
		// leader: that grant supersedes the unanswered ones. The same is true of evacuated targets.
		mustLeave := target.Leaving || target.Evacuated && !keeping[incarnation]
		if !state.Reachable || mustLeave && (!unanswered || s.orders.IsAnswering(incarnation)) {
			continue
		}
		candidate := fulmarassign.Target{
			Incarnation: incarnation, Slots: target.Slots, ServiceTime: s.responseTimes.Get(now, target.ID), HasUnansweredGrant: unanswered, Leaving: target.Leaving || target.Evacuated,
		}
		out = append(out, t.withColdness(now, target, t.withLimit(now, newestLimit, candidate)))
	}
	return out
}
