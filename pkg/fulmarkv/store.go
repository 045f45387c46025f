package fulmarkv

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
)

// Errors of a store; compare with errors.Is.
var (
	// ErrUnavailable means that the call was not answered or was rejected, and had no effect.
	ErrUnavailable = errors.New("fulmarkv: store unavailable")
	// ErrAmbiguous means that the call was not answered and may have taken effect or may do so later.
	ErrAmbiguous = errors.New("fulmarkv: no answer, the call may have taken effect")
	// ErrConflict means that a condition of a transaction did not hold.
	ErrConflict = errors.New("fulmarkv: condition does not hold")
	// ErrNoLease means that the lease has expired or was revoked.
	ErrNoLease = errors.New("fulmarkv: lease has ended")
)

// IsAnswered reports whether a call that ended with err was answered by the store, if only with a refusal.
func IsAnswered(err error) bool {
	return !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrAmbiguous)
}

// Lease identifies a lease; the zero value is no lease.
type Lease int64

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision fulmarera.Revision // of the last write to the key
	Lease    Lease
}

// Condition requires that a key has the given revision; number zero requires that the key is absent. A condition of a former era
// does not hold.
type Condition struct {
	Key      string
	Revision fulmarera.Revision
}

// Write sets a key and attaches it to the lease if Lease is not zero.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Txn is a transaction that is applied atomically if all its conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// CheckEra reports whether the conditions are those of the era in force: ErrConflict means that one is of a former era, so that it
// cannot hold, and ErrUnavailable that one is of a later era, which the caller knows and the adapter has yet to learn of.
func (t Txn) CheckEra(current fulmarera.Era) error {
	for _, c := range t.Conditions {
		switch e := c.Revision.Era(); {
		case e < current:
			return errors.Wrap(ErrConflict, "condition of a former era")
		case e > current:
			return errors.Wrap(ErrUnavailable, "condition of a later era")
		}
	}
	return nil
}

// Store is a key-value service; all methods are safe for concurrent use.
type Store interface {
	// Scan returns all items whose key begins with prefix, by linearizable reads.
	Scan(ctx context.Context, prefix string) ([]Item, error)
	// ReadStale returns an item as it was at some time within the last seconds. It is much cheaper than a
	// linearizable read; ok is false if the key was absent.
	ReadStale(ctx context.Context, key string) (item Item, ok bool, err error)
	// Commit applies a transaction and returns the revision of the keys that it wrote.
	Commit(ctx context.Context, c Txn) (fulmarera.Revision, error)
	// CreateLease creates a lease that expires unless it is renewed within ttl.
	CreateLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease renews a lease; its time to live starts again when the call arrives.
	RenewLease(ctx context.Context, l Lease) error
	// RevokeLease revokes a lease and deletes its keys.
	RevokeLease(ctx context.Context, l Lease) error
}
