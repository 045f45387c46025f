package fulmarfrontdaemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Reload applies changed settings to the running daemon: the address of the store, the retry rule, the drain time and
// the grace period. The other settings, such as the addresses that the daemon listens on, need a restart.
func (f *Daemon) Reload(s Settings) {
	old := f.currentSettings.Swap(&s)
	f.retryBudget.SetRule(s.RetryRule)
	if s.Store != old.Store {
		f.store.set(f.platform.NewStore(s.Store, storeClient(), f.eras))
	}
	f.log.Info("settings reloaded", "store", s.Store, "grace", s.GracePeriod, "drain", s.DrainTime, "retries", s.RetryRule.Ratio,
		"restart", s.ID != old.ID || s.DC != old.DC || s.Listen != old.Listen)
}

// replaceableStore forwards calls to a store that can be replaced at run time.
type replaceableStore struct {
	store atomic.Pointer[fulmarkv.Store]
}

func newReplaceableStore(s fulmarkv.Store) *replaceableStore {
	r := &replaceableStore{}
	r.set(s)
	return r
}

func (r *replaceableStore) set(s fulmarkv.Store) { r.store.Store(&s) }
func (r *replaceableStore) get() fulmarkv.Store  { return *r.store.Load() }

func (r *replaceableStore) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	return r.get().Scan(ctx, prefix)
}

func (r *replaceableStore) ReadStale(ctx context.Context, key string) (fulmarkv.Item, bool, error) {
	return r.get().ReadStale(ctx, key)
}

func (r *replaceableStore) Commit(ctx context.Context, c fulmarkv.Txn) (fulmarera.Revision, error) {
	return r.get().Commit(ctx, c)
}

func (r *replaceableStore) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	return r.get().CreateLease(ctx, ttl)
}

func (r *replaceableStore) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	return r.get().RenewLease(ctx, l)
}

func (r *replaceableStore) RevokeLease(ctx context.Context, l fulmarkv.Lease) error {
	return r.get().RevokeLease(ctx, l)
}
