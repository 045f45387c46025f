package fulmarlead

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// planLoop assigns keys to targets and writes the ownership tables until the lease is lost.
func (t *Term) planLoop(ctx context.Context, lost context.CancelFunc) {
	for {
		if !t.holdsLease(t.deps.Now()) {
			lost()
			return
		}
		if err := t.plan(ctx); err != nil {
			t.deps.Log.Warn("ownership tables not written", "term", t.lease.revision, "error", err)
			if errors.Is(err, fulmarkv.ErrConflict) {
				lost()
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
	t.tablesRevision = revision
	for name, table := range tables {
		t.services[name].orders.Commit(table)
	}
	t.startWorkers(t.deps.Now())
	t.requestPublish()
	t.wakeWorkers()
	return nil
}

// computeTables returns the planned tables of all keyed services and whether any of them changed.
func (t *Term) computeTables() (tables map[string]fulmarrange.Table, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	tables = make(map[string]fulmarrange.Table, len(t.services))
	for name, s := range t.services {
		s.rates.Advance(now)
		s.orders.Expire(now)
		table, renewed := t.pruneTable(now, s)
		next := fulmarassign.Plan(table, t.eligibleTargets(now, name, s), s.rates, fulmarassign.DefaultPolicy)
		if renewed || next.MaxFence() != table.MaxFence() {
			changed = true
		}
		next = next.WithExtendedGrants(s.orders.ExtendedGrants(now))
		s.orders.SetPendingTable(next)
		tables[name] = next
	}
	return tables, changed
}

// pruneTable removes prior owners that can no longer hold keys and renews the fences of owners whose process may have
// been replaced by another one. It reports whether the table changed.
func (t *Term) pruneTable(now time.Time, s *keyedService) (fulmarrange.Table, bool) {
	table, changed := s.orders.Table(), false
	settled := s.orders.SegmentsWithObsoletePrior()
	if len(settled) == 0 {
		s.settledSince = time.Time{}
	} else if s.settledSince.IsZero() {
		s.settledSince = now
	}
	if len(settled) > 0 && now.Sub(s.settledSince) >= priorRemovalDelay {
		s.settledSince = time.Time{}
		changed = true
		for _, g := range settled {
			for _, p := range g.PriorClaims {
				table = table.WithoutPriorClaim(g.From, g.To, p)
			}
		}
	}
	for _, g := range table.Segments() {
		if g.HasOwner() && s.orders.NeedsNewFence(g.Owner.Incarnation) {
			table = table.WithRenewedFence(g.From, g.To)
			changed = true
		}
	}
	return table, changed
}

// eligibleTargets returns the targets that can own keys of a service. The caller holds mu.
func (t *Term) eligibleTargets(now time.Time, service string, s *keyedService) []fulmarassign.Target {
	var out []fulmarassign.Target
	for _, target := range t.snapshot.Catalog.Service(service) {
		life := target.Incarnation()
		stall := s.orders.FailureStreak(now, life)
		limit := unansweredTimeout
		if stall.LastUnsent {
			limit = unreachableTimeout
		}
		reachable := stall.Elapsed < limit || stall.Count < minFailedOrders
		if s.reachable[life] != reachable {
			s.reachable[life] = reachable
			t.deps.Log.Info("reachability of target changed", "target", life.ID, "reachable", reachable, "failures", stall.Count, "since", stall.Elapsed, "unsent", stall.LastUnsent)
		}
		pending := s.orders.HasUnansweredGrant(now, life)
		// A leaving target with pending grants keeps its keys until it answers a grant of this leader: the answer
		// supersedes the grants that it did not answer.
		if !reachable || target.Leaving && (!pending || s.orders.IsAnswering(life)) {
			continue
		}
		out = append(out, fulmarassign.Target{
			Incarnation: life, Slots: target.Slots, ServiceTime: s.responseTimes.Get(now, target.ID), HasUnansweredGrant: pending, Leaving: target.Leaving,
		})
	}
	return out
}
