package fulmarleader

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// writeTables stores the tables on the condition that this daemon still leads and that the stored tables have not
// changed since it read them. It returns their new revision.
func (t *Term) writeTables(ctx context.Context, tables map[string]fulmarrange.Table) (fulmarera.Revision, error) {
	t.mu.Lock()
	known := maps.Clone(t.snapshot.Tables)
	revision := t.tablesRevision
	if revision == 0 {
		revision = fulmarera.Absent(t.lease.era.Era)
	}
	fleet, fleetChanged := t.fleetRecord(t.deps.Now())
	t.mu.Unlock()
	if known == nil {
		known = make(map[string]fulmarrange.Table)
	}
	maps.Copy(known, tables)
	value, err := fulmarsnapshot.EncodeTables(fulmarsnapshot.Writer{Term: t.lease.revision, Address: t.deps.Address}, known)
	if err != nil {
		return 0, err
	}
	change := fulmarkv.Txn{
		Conditions: []fulmarkv.Condition{
			{Key: fulmarsnapshot.LeaderKey, Revision: t.lease.revision},
			{Key: fulmarsnapshot.TablesKey, Revision: revision},
		},
		Writes: []fulmarkv.Write{{Key: fulmarsnapshot.TablesKey, Value: value}},
	}
	if era := t.lease.era.Era; era != 0 {
		change.Conditions = append(change.Conditions, fulmarkv.Condition{Key: fulmarsnapshot.TermKey(era), Revision: t.lease.revision})
	}
	if fleetChanged {
		record, err := fleet.Encode()
		if err != nil {
			return 0, err
		}
		change.Writes = append(change.Writes, fulmarkv.Write{Key: fulmarsnapshot.FleetKey, Value: record})
	}
	crashes := t.deps.Crashes.Version()
	if crashes != t.crashesWritten {
		record, err := fulmarsnapshot.EncodeCrashes(fulmarcrash.NewAged(t.deps.Now(), t.deps.Crashes.Shared()))
		if err != nil {
			return 0, err
		}
		change.Writes = append(change.Writes, fulmarkv.Write{Key: fulmarsnapshot.CrashesKey, Value: record})
	}
	next, err := t.commit(ctx, change, value)
	if err == nil {
		t.crashesWritten = crashes
	}
	return next, err
}

// commit makes the change that writes value as the tables, and returns their new revision. Once an attempt was not acknowledged, it
// is repeated until the change is known to have been made or to be impossible: it may take effect at any time, so that no other
// tables may be planned and acted on.
func (t *Term) commit(ctx context.Context, change fulmarkv.Txn, value []byte) (fulmarera.Revision, error) {
	for unacknowledged := false; ; {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		next, err := t.deps.Store.Commit(callCtx, change)
		cancel()
		if err == nil {
			return next, nil
		}
		if errors.Is(err, fulmarkv.ErrConflict) {
			// An earlier, unacknowledged attempt may have succeeded.
			if next, ok := t.findWrite(ctx, value); ok {
				return next, nil
			}
			return 0, err
		}
		unacknowledged = unacknowledged || errors.Is(err, fulmarkv.ErrAmbiguous)
		if !unacknowledged {
			return 0, err
		}
		t.deps.Log.Warn("write of ownership tables not acknowledged, retrying", "term", t.lease.revision, "error", err)
		if !fulmarclock.Sleep(ctx, retryInterval) {
			return 0, ctx.Err()
		}
	}
}

// fleetRecord returns the record of the daemons, and whether it differs from the stored one. The caller holds mu.
func (t *Term) fleetRecord(now time.Time) (record fulmarsnapshot.Fleet, changed bool) {
	stored := t.snapshot.Fleet
	daemons, maxCPUShare := t.countDaemons(now)
	record = fulmarsnapshot.Fleet{MaxCPUShare: max(stored.MaxCPUShare, maxCPUShare, t.deps.CPUShare), Daemons: max(stored.Daemons, daemons), Relays: t.relays}
	return record, !record.Equal(stored)
}

// findWrite returns the revision of the stored tables if they equal value; ok is false otherwise.
func (t *Term) findWrite(ctx context.Context, value []byte) (fulmarera.Revision, bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	revision, err := readBack(callCtx, t.deps.Store, fulmarsnapshot.TablesKey, value)
	if err != nil && !errors.Is(err, fulmarkv.ErrConflict) {
		t.deps.Log.Warn("ownership tables not read back", "error", err)
	}
	return revision, err == nil
}
