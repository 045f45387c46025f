package fulmarmemory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Client is one caller's way to a store, with the faults on it.
type Client struct {
	store *Store
	mu    sync.Mutex
	fault Fault
}

var _ fulmarkv.Store = (*Client)(nil)

// NewClient returns a way to s without faults.
func NewClient(s *Store) *Client { return &Client{store: s} }

// Break makes all later calls suffer the fault; None ends it.
func (c *Client) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// call does a call under the present fault.
func call[T any](ctx context.Context, c *Client, write bool, do func() (T, error)) (T, error) {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	var none T
	switch fault {
	case Rejected:
		return none, fulmarkv.ErrUnavailable
	case NoResponse:
		<-ctx.Done()
		if write {
			return none, errors.Wrap(fulmarkv.ErrAmbiguous, ctx.Err().Error())
		}
		return none, errors.Wrap(fulmarkv.ErrUnavailable, ctx.Err().Error())
	case ResponseLost:
		_, _ = do() // the caller learns nothing
		<-ctx.Done()
		return none, errors.Wrap(fulmarkv.ErrAmbiguous, ctx.Err().Error())
	default:
		return do()
	}
}

// Scan returns the items whose key begins with prefix.
func (c *Client) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	return call(ctx, c, false, func() ([]fulmarkv.Item, error) { return c.store.Scan(ctx, prefix) })
}

// Peek returns an item.
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

// Commit applies a change.
func (c *Client) Commit(ctx context.Context, change fulmarkv.Txn) (int64, error) {
	return call(ctx, c, true, func() (int64, error) { return c.store.Commit(ctx, change) })
}

// Open returns a new lease.
func (c *Client) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	return call(ctx, c, true, func() (fulmarkv.Lease, error) { return c.store.CreateLease(ctx, ttl) })
}

// Keep extends a lease.
func (c *Client) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	_, err := call(ctx, c, true, func() (struct{}, error) { return struct{}{}, c.store.RenewLease(ctx, l) })
	return err
}

// End ends a lease.
func (c *Client) RevokeLease(ctx context.Context, l fulmarkv.Lease) error {
	_, err := call(ctx, c, true, func() (struct{}, error) { return struct{}{}, c.store.RevokeLease(ctx, l) })
	return err
}
