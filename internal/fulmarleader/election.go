package fulmarleader

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Timing of the leader's lease.
const (
	// LeaseDuration is the time to live of the leader lease, unless the store grants only longer ones. It bounds the time until a
	// lost leader is replaced.
	LeaseDuration      = 1200 * time.Millisecond
	leaseRenewInterval = 200 * time.Millisecond
	// leaseMargin is the time before the lease expires in which no orders are sent.
	leaseMargin = 100 * time.Millisecond
	// A leader that reaches the store through other daemons renews its lease only if its last read of the store is
	// at most maxReadAge old and at least minReportingShare of the daemons still report to it.
	maxReadAge        = time.Second
	minReportingShare = 0.8
	// storeCallTimeout allows for a store that takes 250 ms per answer and has other calls to process.
	storeCallTimeout = 900 * time.Millisecond
	// maxConcurrentRenewals bounds the renewal calls in flight. Several may overlap, so that one slow call does not
	// let the lease expire.
	maxConcurrentRenewals = 4
)

// LeaseTTL returns the time to live of the leader lease at the store.
func (d Deps) LeaseTTL() time.Duration { return max(LeaseDuration, d.MinLease) }

// acquiredLease is the leader lease that an election obtained.
type acquiredLease struct {
	id         fulmarkv.Lease
	revision   int64 // revision of the leader record, which identifies the term
	validUntil time.Time
}

// acquireLease tries to become the leader. It fails if a leader record exists.
func acquireLease(ctx context.Context, d Deps) (acquiredLease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	started := d.Now()
	lease, err := d.Store.CreateLease(ctx, d.LeaseTTL())
	if err != nil {
		return acquiredLease{}, errors.Wrap(err, "fulmarleader: open leader lease")
	}
	record := fulmarsnapshot.Leader{ID: d.ID, Address: d.Address, Nonce: rand.Uint64()}
	value, err := record.Encode()
	if err != nil {
		return acquiredLease{}, err
	}
	var group errgroup.Group
	// Renew the lease at once: with a slow store, the election's calls use up most of its time to live.
	extended := d.Now()
	group.Go(func() error { return d.Store.RenewLease(ctx, lease) })
	revision, err := d.Store.Commit(ctx, fulmarkv.Txn{
		Conditions: []fulmarkv.Condition{{Key: fulmarsnapshot.LeaderKey}},
		Writes:     []fulmarkv.Write{{Key: fulmarsnapshot.LeaderKey, Value: value, Lease: lease}},
	})
	if errors.Is(err, fulmarkv.ErrAmbiguous) {
		revision, err = readBack(ctx, d.Store, fulmarsnapshot.LeaderKey, value)
	}
	if group.Wait() == nil {
		started = extended
	}
	if err != nil {
		return acquiredLease{}, errors.Wrap(err, "fulmarleader: write leader record")
	}
	return acquiredLease{id: lease, revision: revision, validUntil: started.Add(d.LeaseTTL() - leaseMargin)}, nil
}

// readBack returns the revision of key if it holds value, else ErrConflict. It resolves the outcome of a write that
// was not acknowledged.
func readBack(ctx context.Context, store fulmarkv.Store, key string, value []byte) (int64, error) {
	items, err := store.Scan(ctx, key)
	if err != nil {
		return 0, err
	}
	for _, i := range items {
		if i.Key == key && bytes.Equal(i.Value, value) {
			return i.Revision, nil
		}
	}
	return 0, fulmarkv.ErrConflict
}
