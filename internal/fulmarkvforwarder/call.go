package fulmarkvforwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// perform makes the call c to the store.
func perform(ctx context.Context, store fulmarkv.Store, c *fulmarleaderrpc.StoreCall) (*fulmarleaderrpc.StoreAnswer, error) {
	a := new(fulmarleaderrpc.StoreAnswer)
	var err error
	switch {
	case c.Scan != nil:
		a.Items, err = store.Scan(ctx, *c.Scan)
	case c.ReadStale != nil:
		var item fulmarkv.Item
		var ok bool
		if item, ok, err = store.ReadStale(ctx, *c.ReadStale); ok {
			a.Items = []fulmarkv.Item{item}
		}
	case c.Commit != nil:
		a.Revision, err = store.Commit(ctx, *c.Commit)
	case c.CreateLease != nil:
		a.Lease, err = store.CreateLease(ctx, *c.CreateLease)
	case c.RenewLease != nil:
		err = store.RenewLease(ctx, *c.RenewLease)
	case c.RevokeLease != nil:
		err = store.RevokeLease(ctx, *c.RevokeLease)
	default:
		err = errors.Wrap(fulmarkv.ErrUnavailable, "fulmarkvforwarder: store call without a known operation")
	}
	return a, err
}

// faultErrors maps the encoded faults to the errors of a store.
var faultErrors = map[fulmarleaderrpc.Fault]error{
	fulmarleaderrpc.Unavailable: fulmarkv.ErrUnavailable,
	fulmarleaderrpc.Ambiguous:   fulmarkv.ErrAmbiguous,
	fulmarleaderrpc.Conflict:    fulmarkv.ErrConflict,
	fulmarleaderrpc.NoLease:     fulmarkv.ErrNoLease,
}

// encodeError returns the fault of an error. An unknown error is ambiguous, as the call may have had an effect.
func encodeError(err error) fulmarleaderrpc.Fault {
	for f, e := range faultErrors {
		if errors.Is(err, e) {
			return f
		}
	}
	return fulmarleaderrpc.Ambiguous
}

// decodeFault returns the error of a fault, or nil for NoFault. An unknown fault is ambiguous.
func decodeFault(f fulmarleaderrpc.Fault) error {
	if f == fulmarleaderrpc.NoFault {
		return nil
	}
	if err, ok := faultErrors[f]; ok {
		return err
	}
	return fulmarkv.ErrAmbiguous
}

// callDirect makes a call directly and records whether the store answered.
func (s *Store) callDirect(ctx context.Context, c *fulmarleaderrpc.StoreCall) result {
	a, err := perform(ctx, s.direct, c)
	r := result{a, err}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.answered() {
		s.lastDirectFailure = time.Time{}
	} else {
		s.lastDirectFailure = time.Now()
	}
	return r
}
