package fulmarkv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a store; compare with errors.Is.
var (
	// ErrUnavailable states that the call was not answered or was turned away, and had no effect.
	ErrUnavailable = errors.New("fulmarkv: store unavailable")
	// ErrAmbiguous states that the call was not answered and may have taken effect, or may do so later.
	ErrAmbiguous = errors.New("fulmarkv: no answer, the call may have taken effect")
	// ErrConflict states that a condition of a change did not hold.
	ErrConflict = errors.New("fulmarkv: condition does not hold")
	// ErrNoLease states that the lease has ended.
	ErrNoLease = errors.New("fulmarkv: lease has ended")
)

// Lease identifies a lease; the zero value is no lease.
type Lease int64

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change
	Lease    Lease
}

// Condition requires that a key's last change has the given revision; zero requires that the key is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key, bound to a lease if Lease is not zero.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Change is applied as a whole if all its conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Store is a key-value service; all methods are safe for concurrent use.
type Store interface {
	// Scan returns all items whose key begins with prefix, by linearizable reads.
	Scan(ctx context.Context, prefix string) ([]Item, error)
	// Peek returns the item as it was at some time within the last seconds, which is much cheaper than a
	// linearizable read; ok is false if there was none.
	Peek(ctx context.Context, key string) (item Item, ok bool, err error)
	// Commit applies a change and returns the revision of the keys that it wrote.
	Commit(ctx context.Context, c Txn) (int64, error)
	// Open returns a new lease that ends unless it is kept within ttl.
	Open(ctx context.Context, ttl time.Duration) (Lease, error)
	// Keep extends a lease, counted from the arrival of the call.
	Keep(ctx context.Context, l Lease) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, l Lease) error
}
