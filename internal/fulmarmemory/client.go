package fulmarmemory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Client is one caller's access to a Store, with fault injection; it is safe for concurrent use.
type Client struct {
	store *Store
	mu    sync.Mutex
	fault Fault
}

var _ fulmarkv.Store = (*Client)(nil)

// NewClient returns a client of s without faults.
func NewClient(s *Store) *Client { return &Client{store: s} }

// SetFault makes all later calls fail as f states; NoFault ends this.
func (c *Client) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// call performs a call under the current fault. If write is set, the call changes the store, and its effect is
// unknown if there is no response.
func call[T any](ctx context.Context, c *Client, write bool, apply func() (T, error)) (T, error) {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	var zero T
	switch fault {
	case Rejected:
		return zero, fulmarkv.ErrUnavailable
	case NoResponse:
		<-ctx.Done()
		if write {
			return zero, errors.Wrap(fulmarkv.ErrAmbiguous, ctx.Err().Error())
		}
		return zero, errors.Wrap(fulmarkv.ErrUnavailable, ctx.Err().Error())
	case ResponseLost:
		_, _ = apply() // the result does not reach the caller
		<-ctx.Done()
		return zero, errors.Wrap(fulmarkv.ErrAmbiguous, ctx.Err().Error())
	default:
		return apply()
	}
}

// Scan returns the items whose key begins with prefix.
func (c *Client) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	return call(ctx, c, false, func() ([]fulmarkv.Item, error) { return c.store.Scan(ctx, prefix) })
}

// ReadStale returns an item.
func (c *Client) ReadStale(ctx context.Context, key string) (fulmarkv.Item, bool, error) {
	type found struct {
		item fulmarkv.Item
		ok   bool
	}
	f, err := call(ctx, c, false, func() (found, error) {
		i, ok, err := c.store.ReadStale(ctx, key)
		return found{i, ok}, err
	})
	return f.item, f.ok, err
}

// Commit applies a transaction if its conditions hold.
func (c *Client) Commit(ctx context.Context, t fulmarkv.Txn) (int64, error) {
	return call(ctx, c, true, func() (int64, error) { return c.store.Commit(ctx, t) })
}

// CreateLease creates a lease.
func (c *Client) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	return call(ctx, c, true, func() (fulmarkv.Lease, error) { return c.store.CreateLease(ctx, ttl) })
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	_, err := call(ctx, c, true, func() (struct{}, error) { return struct{}{}, c.store.RenewLease(ctx, l) })
	return err
}

// RevokeLease revokes a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, l fulmarkv.Lease) error {
	_, err := call(ctx, c, true, func() (struct{}, error) { return struct{}{}, c.store.RevokeLease(ctx, l) })
	return err
}
