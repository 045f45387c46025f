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

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Fault is a way in which calls of a Client fail.
type Fault int

// Faults.
const (
	NoFault      Fault = iota
	Rejected           // fails at once and is not applied
	NoResponse         // waits until the caller's context ends and is not applied
	ResponseLost       // is applied and waits until the caller's context ends
)

// item is an item and the revision that created its key.
type item struct {
	fulmarkv.Item
	created int64
}

// lease expires at expires unless it is renewed, which adds ttl to the time of the renewal.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory fulmarkv.Store; it is safe for concurrent use. See Client for fault injection.
type Store struct {
	mu        sync.Mutex
	now       func() time.Time
	revision  int64
	items     map[string]item
	leases    map[fulmarkv.Lease]lease
	lastLease fulmarkv.Lease
	calls     map[string]int
	era       fulmarera.Era
}

var _ fulmarkv.Store = (*Store)(nil)

// New returns an empty store that reads the time of its leases from now.
func New(now func() time.Time) *Store {
	return &Store{
		now: now, revision: 1, items: make(map[string]item), leases: make(map[fulmarkv.Lease]lease), calls: make(map[string]int),
	}
}

// Calls returns the number of calls of an operation: Scan (of all keys), ScanPrefix, Peek, Commit, Open, Keep or End.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Set writes a key unconditionally, as an operator or a target does.
func (s *Store) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(fulmarkv.Write{Key: key, Value: value})
}

// Remove deletes a key unconditionally.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// ExpireLeases expires all leases at once.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.removeLease(id)
	}
}

// beginCall counts a call and removes expired leases; mu must be held.
func (s *Store) beginCall(name string) {
	s.calls[name]++
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys; mu must be held.
func (s *Store) removeLease(id fulmarkv.Lease) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

// inEra returns the revision of a number in the present era; mu must be held.
func (s *Store) inEra(number int64) fulmarera.Revision {
	r, _ := fulmarera.NewRevision(s.era, number)
	return r
}

// read returns an item as a reader gets it; mu must be held.
func (s *Store) read(i item) fulmarkv.Item {
	i.Revision = s.inEra(int64(i.Revision))
	return i.Item
}

// put writes a key at the current revision; mu must be held.
func (s *Store) put(w fulmarkv.Write) {
	created := s.revision
	if old, ok := s.items[w.Key]; ok {
		created = old.created
	}
	s.items[w.Key] = item{fulmarkv.Item{Key: w.Key, Value: bytes.Clone(w.Value), Revision: fulmarera.Revision(s.revision), Lease: w.Lease}, created}
}

// Scan returns the items whose key begins with prefix, ordered by key.
func (s *Store) Scan(_ context.Context, prefix string) ([]fulmarkv.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix == "" {
		s.beginCall("Scan")
	} else {
		s.beginCall("ScanPrefix")
	}
	var out []fulmarkv.Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.read(i))
		}
	}
	slices.SortFunc(out, func(a, b fulmarkv.Item) int { return cmp.Compare(a.Key, b.Key) })
	return out, nil
}

// ReadStale returns an item; it is never stale here.
func (s *Store) ReadStale(_ context.Context, key string) (fulmarkv.Item, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCall("Peek")
	i, ok := s.items[key]
	return s.read(i), ok, nil
}

// Commit applies a transaction if its conditions hold.
func (s *Store) Commit(_ context.Context, t fulmarkv.Txn) (fulmarera.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCall("Commit")
	for _, k := range t.Conditions {
		if int64(s.items[k.Key].Revision) != k.Revision.Number() { // the store knows nothing of the eras of conditions
			return 0, errors.Wrap(fulmarkv.ErrConflict, k.Key)
		}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, fulmarkv.ErrNoLease
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.put(w)
	}
	for _, key := range t.Deletes {
		delete(s.items, key)
	}
	return s.inEra(s.revision), nil
}

// CreateLease creates a lease.
func (s *Store) CreateLease(_ context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCall("Open")
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.lastLease, nil
}

// RenewLease restarts the time to live of a lease.
func (s *Store) RenewLease(_ context.Context, id fulmarkv.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCall("Keep")
	l, ok := s.leases[id]
	if !ok {
		return fulmarkv.ErrNoLease
	}
	l.expires = s.now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// RevokeLease revokes a lease and deletes its keys.
func (s *Store) RevokeLease(_ context.Context, id fulmarkv.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCall("End")
	if _, ok := s.leases[id]; !ok {
		return fulmarkv.ErrNoLease
	}
	s.removeLease(id)
	return nil
}
