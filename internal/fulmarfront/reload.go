package fulmarfront

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Reload takes over settings that were changed while the daemon runs: the store's address, the bound on
// repeated sends, and the times of drains and of the end. Addresses that the daemon listens on stay.
func (f *Front) Reload(s Settings) {
	old := f.current.Swap(&s)
	f.allowance.SetRule(s.RetryRule)
	if s.Store != old.Store {
		f.store.set(f.platform.NewStore(s.Store, storeClient()))
	}
	f.log.Info("settings reloaded", "store", s.Store, "grace", s.GracePeriod, "drain", s.DrainTime, "retries", s.RetryRule.Ratio,
		"restart", s.ID != old.ID || s.DC != old.DC || s.Listen != old.Listen)
}

// switched is a store that can be replaced by another.
type switched struct {
	store atomic.Pointer[fulmarkv.Store]
}

func newSwitched(s fulmarkv.Store) *switched {
	w := &switched{}
	w.set(s)
	return w
}

func (w *switched) set(s fulmarkv.Store) { w.store.Store(&s) }
func (w *switched) get() fulmarkv.Store  { return *w.store.Load() }

func (w *switched) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	return w.get().Scan(ctx, prefix)
}

func (w *switched) Peek(ctx context.Context, key string) (fulmarkv.Item, bool, error) {
	return w.get().Peek(ctx, key)
}

func (w *switched) Commit(ctx context.Context, c fulmarkv.Txn) (int64, error) {
	return w.get().Commit(ctx, c)
}

func (w *switched) Open(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	return w.get().Open(ctx, ttl)
}

func (w *switched) Keep(ctx context.Context, l fulmarkv.Lease) error { return w.get().Keep(ctx, l) }

func (w *switched) End(ctx context.Context, l fulmarkv.Lease) error { return w.get().End(ctx, l) }
