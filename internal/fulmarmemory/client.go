package fulmarmemory

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Client is one caller's access to a Store, with fault injection; it is safe for concurrent use.
type Client struct {
	store *Store
	mu    sync.Mutex
	fault Fault
	eras  *fulmarera.Tracker // of the caller; nil if it does not read the era
	delay time.Duration
}

var _ fulmarkv.Store = (*Client)(nil)

// NewClient returns a client of s without faults.
func NewClient(s *Store) *Client { return &Client{store: s} }

// WithEras returns a client that tells the tracker the era of each response, as an adapter of the platform does.
func (c *Client) WithEras(eras *fulmarera.Tracker) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Client{store: c.store, fault: c.fault, eras: eras}
}

// Eras returns the tracker that the client tells the era of each response.
func (c *Client) Eras() *fulmarera.Tracker { return c.eras }

// SetDelay makes the responses of all later calls arrive after a delay.
func (c *Client) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// observe tells the tracker the era of a response.
func (c *Client) observe(era fulmarera.Era, write bool) error {
	if c.eras == nil {
		return nil
	}
	_, err := c.eras.Observe(strconv.FormatInt(int64(era)-1, 10), era != 0)
	switch {
	case err == nil:
		return nil
	case write:
		return errors.Wrap(fulmarkv.ErrAmbiguous, err.Error())
	}
	return errors.Wrap(fulmarkv.ErrUnavailable, err.Error())
}

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
	fault, delay := c.fault, c.delay
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
		era := c.store.Era()
		out, err := apply()
		if c.store.Era() != era { // restored meanwhile; the response is lost
			if write {
				return zero, fulmarkv.ErrAmbiguous
			}
			return zero, fulmarkv.ErrUnavailable
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if eraErr := c.observe(era, write); eraErr != nil {
			return zero, eraErr
		}
		return out, err
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
func (c *Client) Commit(ctx context.Context, t fulmarkv.Txn) (fulmarera.Revision, error) {
	if c.eras != nil {
		if err := t.CheckEra(c.eras.Current().Era); err != nil {
			return 0, err
		}
	}
	revision, err := call(ctx, c, true, func() (fulmarera.Revision, error) { return c.store.Commit(ctx, t) })
	if err == nil && c.eras != nil && t.CheckEra(revision.Era()) != nil {
		return 0, errors.Wrap(fulmarkv.ErrAmbiguous, "conditions of a former era")
	}
	return revision, err
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
