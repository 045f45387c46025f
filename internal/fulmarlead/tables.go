package fulmarlead

import (
	"context"
	"maps"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// write stores the tables on the condition that this daemon leads and nobody else has written them.
func (t *Term) write(ctx context.Context, tables map[string]fulmarrange.Table) (int64, error) {
	t.mu.Lock()
	known := maps.Clone(t.snapshot.Tables)
	revision := t.revision
	stored := t.snapshot.Fleet.MaxCPUShare
	_, strongest := t.daemons(t.deps.Now())
	strongest = max(strongest, t.deps.CPUShare)
	t.mu.Unlock()
	if known == nil {
		known = make(map[string]fulmarrange.Table)
	}
	maps.Copy(known, tables)
	value, err := fulmarsnapshot.EncodeTables(fulmarsnapshot.Writer{Term: t.seat.revision, Address: t.deps.Address}, known)
	if err != nil {
		return 0, err
	}
	change := fulmarkv.Txn{
		Conditions: []fulmarkv.Condition{
			{Key: fulmarsnapshot.LeaderKey, Revision: t.seat.revision},
			{Key: fulmarsnapshot.TablesKey, Revision: revision},
		},
		Writes: []fulmarkv.Write{{Key: fulmarsnapshot.TablesKey, Value: value}},
	}
	if stored < strongest {
		record, err := fulmarsnapshot.Fleet{MaxCPUShare: strongest}.Encode()
		if err != nil {
			return 0, err
		}
		change.Writes = append(change.Writes, fulmarkv.Write{Key: fulmarsnapshot.FleetKey, Value: record})
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		next, err := t.deps.Store.Commit(callCtx, change)
		cancel()
		if err == nil {
			return next, nil
		}
		if errors.Is(err, fulmarkv.ErrConflict) {
			// An earlier attempt that was not answered may have been done.
			if next, ok := t.written(ctx, value); ok {
				return next, nil
			}
			return 0, err
		}
		if !errors.Is(err, fulmarkv.ErrAmbiguous) {
			return 0, err
		}
		t.deps.Log.Warn("write of tables not answered, repeating", "term", t.seat.revision, "error", err)
		if !fulmarclock.Sleep(ctx, retry) {
			return 0, ctx.Err()
		}
	}
}

// written reports whether the stored tables have the value.
func (t *Term) written(ctx context.Context, value []byte) (int64, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := readBack(callCtx, t.deps.Store, fulmarsnapshot.TablesKey, value)
	if err != nil && !errors.Is(err, fulmarkv.ErrConflict) {
		t.deps.Log.Warn("tables not read back", "error", err)
	}
	return revision, err == nil
}
