package fulmarleader

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
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
	revision   fulmarera.Revision // revision of the leader record, which identifies the term
	validUntil time.Time
	era        *fulmarera.State // in which the lease was created
}

// acquireLease tries to become the leader. It fails if a leader record exists. The calls have a deadline each, and the lease is
// renewed meanwhile: with a slow store, they last longer than its time to live.
func acquireLease(ctx context.Context, d Deps) (acquiredLease, error) {
	keeper, err := createLease(ctx, d)
	if err != nil {
		return acquiredLease{}, errors.Wrap(err, "fulmarleader: open leader lease")
	}
	renewCtx, stop := context.WithCancel(ctx)
	go keeper.renewLoop(renewCtx)
	revision, err := writeRecord(ctx, d, keeper.era.Era, keeper.lease)
	stop()
	acquired := acquiredLease{id: keeper.lease, revision: revision, validUntil: keeper.validUntil(), era: keeper.era}
	if err == nil && !d.Now().Before(acquired.validUntil) {
		err = errors.Wrap(fulmarkv.ErrAmbiguous, "lease ended before the answer")
	}
	if errors.Is(err, fulmarkv.ErrAmbiguous) {
		// The write may have taken effect, or may do so later. Without its lease, the record keeps no other daemon from being elected.
		d.revokeLease(keeper.era, keeper.lease)
	}
	return acquired, errors.Wrap(err, "fulmarleader: write leader record")
}

// writeRecord makes this daemon the leader for as long as the lease lasts, and returns the revision of its record. It fails with
// ErrAmbiguous if the record may have been written, or may be later.
func writeRecord(ctx context.Context, d Deps, era fulmarera.Era, lease fulmarkv.Lease) (fulmarera.Revision, error) {
	record := fulmarsnapshot.Leader{ID: d.ID, Address: d.Address, Nonce: rand.Uint64()}
	value, err := record.Encode()
	if err != nil {
		return 0, err
	}
	writeCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	change := fulmarkv.Txn{
		Conditions: []fulmarkv.Condition{{Key: fulmarsnapshot.LeaderKey, Revision: fulmarera.Absent(era)}},
		Writes:     []fulmarkv.Write{{Key: fulmarsnapshot.LeaderKey, Value: value, Lease: lease}},
	}
	if era != 0 {
		change.Writes = append(change.Writes, fulmarkv.Write{Key: fulmarsnapshot.TermKey(era), Value: value})
	}
	revision, err := d.Store.Commit(writeCtx, change)
	if !errors.Is(err, fulmarkv.ErrAmbiguous) {
		return revision, err
	}
	readCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if revision, err = readBack(readCtx, d.Store, fulmarsnapshot.LeaderKey, value); err != nil {
		return 0, errors.Wrap(fulmarkv.ErrAmbiguous, err.Error())
	}
	if revision.Era() != era {
		return 0, errors.Wrap(fulmarkv.ErrAmbiguous, "store restored meanwhile")
	}
	return revision, nil
}

// readBack returns the revision of key if it holds value, else ErrConflict. It resolves the outcome of a write that
// was not acknowledged.
func readBack(ctx context.Context, store fulmarkv.Store, key string, value []byte) (fulmarera.Revision, error) {
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
