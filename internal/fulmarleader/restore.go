package fulmarleader

import (
	"context"
	"maps"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrecovery"
)

// Past is what a daemon knows of earlier terms where the store may have been restored.
type Past struct {
	Memory *fulmarrecovery.Memory // of the former era, nil for none
	Led    time.Time              // when the daemon first knew of a term of the era, zero for none
}

// Revision returns the revision that identifies the term.
func (t *Term) Revision() fulmarera.Revision { return t.lease.revision }

// recovery is the state of a term in which a restore of the store matters.
type recovery struct {
	Past
	chosen    bool // basis is known
	basis     fulmarrecovery.Basis
	heldUntil time.Time // no keys are granted and no tables written before then
	mustWrite bool      // no tables were written in this era
	writers   []fulmarera.Revision
	nextEra   fulmarera.Era // whose begin ended this term while it was the last one of its era, else 0
}

// EndRestoredTerm ends the lease of a term of this daemon that a restored store still names as the current one, so that the daemon can
// be elected at once, and reports whether there was one. The daemon must not lead.
func (d Deps) EndRestoredTerm(ctx context.Context) bool {
	era := d.Eras.Current()
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	items, err := d.Store.Scan(ctx, fulmarsnapshot.LeaderKey)
	if err != nil {
		d.Log.Info("leader record not read", "error", err)
		return false
	}
	for _, i := range items {
		if l, err := fulmarsnapshot.DecodeLeader(i.Value); i.Key == fulmarsnapshot.LeaderKey && err == nil && l.ID == d.ID && i.Revision.Era() == era.Era {
			d.revokeLease(era, i.Lease)
			return true
		}
	}
	return false
}

// awaitRestore ends the term when the store was restored, or returns when ctx ends.
func (t *Term) awaitRestore(ctx context.Context) {
	select {
	case <-t.lease.era.Ended():
		t.deps.Log.Warn("store was restored, leader term ends", "term", t.lease.revision)
		t.endTerm()
	case <-ctx.Done():
	}
}

// noteRestore notes whether the term is the last one of its era. The caller holds mu and ends the term.
func (t *Term) noteRestore() {
	if next := t.deps.Eras.Current().Era; !t.ended && fulmarrecovery.IsLast(t.lease.era, next, t.deps.Now(), t.validUntil) {
		t.recovery.nextEra = next
	}
}

// chooseBasis decides, at the first read of the store in the term, what it takes for the state of earlier grants. The caller holds mu.
func (t *Term) chooseBasis(now time.Time, s *fulmarsnapshot.Snapshot) {
	r, era, writer := &t.recovery, t.lease.era, s.TablesWriter.Term
	r.chosen, r.writers, r.mustWrite = true, []fulmarera.Revision{t.lease.revision, writer}, writer.Era() != era.Era
	start := fulmarrecovery.Start{Era: era, Writer: writer, Memory: r.Memory, Led: r.Led, LeaseTTL: t.deps.LeaseTTL(), MaxHold: t.timing().MaxHoldTime(), First: era.Since.Before(t.deps.FirstStartBefore)}
	switch r.basis, r.heldUntil = start.Choose(now); r.basis {
	case fulmarrecovery.Remembered:
		r.writers = append(r.writers, r.Memory.Writers...)
		t.deps.Metrics.Count("leader.restored_from_memory")
		t.deps.Log.Warn("ownership tables restored from the memory of the former leader", "term", t.lease.revision, "written", writer, "left", r.Memory.Lapse.Sub(now))
	case fulmarrecovery.Held:
		t.deps.Metrics.Count("leader.restored_without_memory")
		t.deps.Log.Warn("no keys are granted until all grants of the former era have lapsed", "term", t.lease.revision, "written", writer, "left", r.heldUntil.Sub(now))
	}
}

// knownTables returns the tables by service that the term starts from; s is a snapshot of the store. The caller holds mu.
func (t *Term) knownTables(s *fulmarsnapshot.Snapshot) map[string]fulmarrange.Table {
	if t.recovery.basis == fulmarrecovery.Remembered {
		return t.recovery.Memory.Tables
	}
	return s.Tables
}

// newScheduler returns the scheduler of a service with a table that the term starts from.
func (t *Term) newScheduler(now time.Time, table fulmarrange.Table) *fulmarorder.Scheduler {
	s := fulmarorder.New(now, table.WithUsedFences(t.lease.era.Era.FirstFence()), t.timing())
	s.Hold(t.recovery.heldUntil)
	if t.recovery.basis == fulmarrecovery.Remembered {
		s.LimitInherited(t.recovery.Memory.Lapse)
	}
	return s
}

// isHeld reports whether the term may not grant keys yet.
func (t *Term) isHeld() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deps.Now().Before(t.recovery.heldUntil)
}

// keepsOwners reports whether the owners in the view are better known than those of the stored tables: targets hold the keys that the
// last leader granted until these grants lapse. The caller holds mu.
func (t *Term) keepsOwners(now time.Time, v *fulmarview.View) bool {
	return now.Before(t.recovery.heldUntil) && len(v.Owners) > 0
}

// Memory returns what the term knows of all grants if it was the last one of its era, and nil otherwise. It is called after Run.
func (t *Term) Memory() *fulmarrecovery.Memory {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, now := &t.recovery, t.deps.Now()
	if r.nextEra == 0 || !r.chosen || now.Before(r.heldUntil) {
		return nil
	}
	m := &fulmarrecovery.Memory{Era: r.nextEra, Tables: make(map[string]fulmarrange.Table), Lapse: now.Add(t.grantsLapseIn(now)), Writers: r.writers}
	maps.Copy(m.Tables, t.snapshot.Tables)
	for name, s := range t.services {
		m.Tables[name] = s.orders.Table()
	}
	return m
}
