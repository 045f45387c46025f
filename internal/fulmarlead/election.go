package fulmarlead

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
	// LeaseTime is the time of the lease. A new leader is elected within it after the loss of one.
	LeaseDuration = 1200 * time.Millisecond
	keepEvery     = 200 * time.Millisecond
	// leaseMargin is kept before the end of the lease in which no order is sent.
	leaseMargin = 100 * time.Millisecond
	// readLimit and heardShare bound a leader that calls the store through other daemons.
	readLimit  = time.Second
	heardShare = 0.8
	// callTimeout bears a store that takes a quarter of a second for an answer and has other calls to answer.
	callTimeout = 900 * time.Millisecond
	// keepsOpen is the number of calls that extend the lease at the same time, so that a slow one does not end it.
	keepsOpen = 4
)

// seat is a lease that was acquired.
type seat struct {
	lease    fulmarkv.Lease
	revision int64 // of the leader's record
	valid    time.Time
}

// acquire tries to become the leader; the record must be absent.
func acquire(ctx context.Context, d Deps) (seat, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := d.Now()
	lease, err := d.Store.Open(ctx, LeaseDuration)
	if err != nil {
		return seat{}, errors.Wrap(err, "fulmarlead: lease")
	}
	record := fulmarsnapshot.Leader{ID: d.ID, Address: d.Address, Nonce: rand.Uint64()}
	value, err := record.Encode()
	if err != nil {
		return seat{}, err
	}
	var group errgroup.Group
	// The lease is extended at once, as the calls of an election take most of its time if the store is slow.
	extended := d.Now()
	group.Go(func() error { return d.Store.Keep(ctx, lease) })
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
		return seat{}, errors.Wrap(err, "fulmarlead: leader's record")
	}
	return seat{lease: lease, revision: revision, valid: started.Add(LeaseDuration - leaseMargin)}, nil
}

// readBack returns the revision of a key if it has the value, else ErrConflict. It tells what became of a write that
// was not answered.
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
