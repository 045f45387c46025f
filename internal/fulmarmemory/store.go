package fulmarmemory

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Fault is what happens to a call.
type Fault int

// Faults.
const (
	NoFault      Fault = iota
	Rejected           // turned away, nothing is done
	NoResponse         // not answered until the caller's context ends, nothing is done
	ResponseLost       // done, but not answered
)

type item struct {
	fulmarkv.Item
	created int64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is a fulmarkv.Store without faults; see Client for one with faults.
type Store struct {
	mu       sync.Mutex
	now      func() time.Time
	revision int64
	items    map[string]item
	leases   map[fulmarkv.Lease]lease
	next     fulmarkv.Lease
	calls    map[string]int
}

var _ fulmarkv.Store = (*Store)(nil)

// New returns an empty store whose leases run by now.
func New(now func() time.Time) *Store {
	return &Store{
		now: now, revision: 1, items: make(map[string]item), leases: make(map[fulmarkv.Lease]lease), calls: make(map[string]int),
	}
}

// Calls returns how often the named method was called.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Set writes a key without a condition, as an operator or a target does.
func (s *Store) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(fulmarkv.Write{Key: key, Value: value})
}

// Remove deletes a key without a condition.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// Lapse ends all leases at once.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

func (s *Store) enter(name string) {
	s.calls[name]++
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.until) {
			s.end(id)
		}
	}
}

func (s *Store) end(id fulmarkv.Lease) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

func (s *Store) put(w fulmarkv.Write) {
	created := s.revision
	if old, ok := s.items[w.Key]; ok {
		created = old.created
	}
	s.items[w.Key] = item{fulmarkv.Item{Key: w.Key, Value: bytes.Clone(w.Value), Revision: s.revision, Lease: w.Lease}, created}
}

// Scan returns the items whose key begins with prefix, in the order of the keys.
func (s *Store) Scan(_ context.Context, prefix string) ([]fulmarkv.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter("Scan")
	var out []fulmarkv.Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, i.Item)
		}
	}
	slices.SortFunc(out, func(a, b fulmarkv.Item) int { return cmp.Compare(a.Key, b.Key) })
	return out, nil
}

// Peek returns an item.
func (s *Store) ReadStale(_ context.Context, key string) (fulmarkv.Item, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter("Peek")
	i, ok := s.items[key]
	return i.Item, ok, nil
}

// Commit applies a change if its conditions hold.
func (s *Store) Commit(_ context.Context, c fulmarkv.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter("Commit")
	for _, k := range c.Conditions {
		if s.items[k.Key].Revision != k.Revision {
			return 0, errors.Wrap(fulmarkv.ErrConflict, k.Key)
		}
	}
	for _, w := range c.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, fulmarkv.ErrNoLease
		}
	}
	s.revision++
	for _, w := range c.Writes {
		s.put(w)
	}
	for _, key := range c.Deletes {
		delete(s.items, key)
	}
	return s.revision, nil
}

// Open returns a new lease.
func (s *Store) CreateLease(_ context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter("Open")
	s.next++
	s.leases[s.next] = lease{ttl: ttl, until: s.now().Add(ttl)}
	return s.next, nil
}

// Keep extends a lease.
func (s *Store) RenewLease(_ context.Context, id fulmarkv.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter("Keep")
	l, ok := s.leases[id]
	if !ok {
		return fulmarkv.ErrNoLease
	}
	l.until = s.now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// End ends a lease.
func (s *Store) RevokeLease(_ context.Context, id fulmarkv.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter("End")
	if _, ok := s.leases[id]; !ok {
		return fulmarkv.ErrNoLease
	}
	s.end(id)
	return nil
}
