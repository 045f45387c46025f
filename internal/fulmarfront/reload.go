package fulmarfront

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Reload applies changed settings to the running daemon: the address of the store, the retry rule, the drain time and
// the grace period. The other settings, such as the addresses that the daemon listens on, need a restart.
func (f *Front) Reload(s Settings) {
	old := f.current.Swap(&s)
	f.retryBudget.SetRule(s.RetryRule)
	if s.Store != old.Store {
		f.store.set(f.platform.NewStore(s.Store, storeClient()))
	}
	f.log.Info("settings reloaded", "store", s.Store, "grace", s.GracePeriod, "drain", s.DrainTime, "retries", s.RetryRule.Ratio,
		"restart", s.ID != old.ID || s.DC != old.DC || s.Listen != old.Listen)
}

// replaceableStore forwards calls to a store that can be replaced at run time.
type replaceableStore struct {
	store atomic.Pointer[fulmarkv.Store]
}

func newReplaceableStore(s fulmarkv.Store) *replaceableStore {
	w := &replaceableStore{}
	w.set(s)
	return w
}

func (w *replaceableStore) set(s fulmarkv.Store) { w.store.Store(&s) }
func (w *replaceableStore) get() fulmarkv.Store  { return *w.store.Load() }

func (w *replaceableStore) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	return w.get().Scan(ctx, prefix)
}

func (w *replaceableStore) ReadStale(ctx context.Context, key string) (fulmarkv.Item, bool, error) {
	return w.get().ReadStale(ctx, key)
}

func (w *replaceableStore) Commit(ctx context.Context, c fulmarkv.Txn) (int64, error) {
	return w.get().Commit(ctx, c)
}

func (w *replaceableStore) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	return w.get().CreateLease(ctx, ttl)
}

func (w *replaceableStore) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	return w.get().RenewLease(ctx, l)
}

func (w *replaceableStore) RevokeLease(ctx context.Context, l fulmarkv.Lease) error {
	return w.get().RevokeLease(ctx, l)
}
