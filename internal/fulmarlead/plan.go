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
		if !fulmarclock.Sleep(ctx, planEvery) {
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
		next := fulmarassign.Plan(table, t.owners(now, name, s), s.rates, fulmarassign.DefaultPolicy)
		if renewed || next.MaxFence() != table.MaxFence() {
			changed = true
		}
		next = next.WithExtendedGrants(s.book.ExtendedGrants(now))
		s.book.SetPendingTable(next)
		tables[name] = next
	}
	return tables, changed
}

// tidy drops earlier owners that no longer matter and renews fences of lives that may have been replaced.
func (t *Term) tidy(now time.Time, s *shard) (fulmarrange.Table, bool) {
	table, changed := s.book.Table(), false
	settled := s.book.SegmentsWithObsoletePrior()
	if len(settled) == 0 {
		s.settled = time.Time{}
	} else if s.settled.IsZero() {
		s.settled = now
	}
	if len(settled) > 0 && now.Sub(s.settled) >= settle {
		s.settled = time.Time{}
		changed = true
		for _, g := range settled {
			for _, p := range g.PriorClaims {
				table = table.WithoutPriorClaim(g.From, g.To, p)
			}
		}
	}
	for _, g := range table.Segments() {
		if g.HasOwner() && s.book.NeedsNewFence(g.Owner.Incarnation) {
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
		life := target.Incarnation()
		stall := s.book.FailureStreak(now, life)
		limit := silentTime
		if stall.LastUnsent {
			limit = stallTime
		}
		reachable := stall.Elapsed < limit || stall.Count < stallMin
		if s.reach[life] != reachable {
			s.reach[life] = reachable
			t.deps.Log.Info("target judged", "target", life.ID, "reachable", reachable, "failures", stall.Count, "since", stall.Elapsed, "unsent", stall.LastUnsent)
		}
		pending := s.book.HasUnansweredGrant(now, life)
		// A target that leaves keeps its keys until it has answered a grant, after which those that it has not
		// answered no longer count.
		if !reachable || target.Leaving && (!pending || s.book.IsAnswering(life)) {
			continue
		}
		out = append(out, fulmarassign.Target{
			Incarnation: life, Slots: target.Slots, ServiceTime: s.times.Get(now, target.ID), HasUnansweredGrant: pending, Leaving: target.Leaving,
		})
	}
	return out
}
