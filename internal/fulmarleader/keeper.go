package fulmarleader

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// leaseKeeper renews a lease until its election has ended.
type leaseKeeper struct {
	deps  Deps
	lease fulmarkv.Lease
	era   *fulmarera.State // in which the lease was created

	mu      sync.Mutex
	renewed time.Time // when the last successful renewal began
}

// createLease creates a lease for an election.
func createLease(ctx context.Context, d Deps) (*leaseKeeper, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	began, era := d.Now(), d.Eras.Current()
	lease, err := d.Store.CreateLease(ctx, d.LeaseTTL())
	if err == nil && era.HasEnded() {
		err = errors.Wrap(fulmarkv.ErrAmbiguous, "store restored meanwhile")
	}
	return &leaseKeeper{deps: d, lease: lease, era: era, renewed: began}, err
}

// validUntil returns the time up to which the lease is certain to last.
func (k *leaseKeeper) validUntil() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.renewed.Add(k.deps.LeaseTTL() - leaseMargin)
}

// renewLoop renews the lease until ctx ends. A slow call does not delay the next ones.
func (k *leaseKeeper) renewLoop(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentRenewals)
	for next := time.Duration(0); fulmarclock.Sleep(ctx, next); next = leaseRenewInterval {
		calls.TryGo(func() error {
			k.renew(ctx)
			return nil
		})
	}
}

// renew renews the lease once.
func (k *leaseKeeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	began := k.deps.Now()
	if err := k.deps.Store.RenewLease(ctx, k.lease); err != nil {
		k.deps.Log.Debug("lease of an election not renewed", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if began.After(k.renewed) && !k.era.HasEnded() {
		k.renewed = began
	}
}

// revokeLease ends a lease of an era, so that another daemon can be elected at once. In a later era the lease may be that of
// another daemon.
func (d Deps) revokeLease(era *fulmarera.State, lease fulmarkv.Lease) {
	if era.HasEnded() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := d.Store.RevokeLease(ctx, lease); err != nil {
		d.Log.Info("leader lease not released", "error", err)
	}
}
