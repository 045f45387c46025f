package fulmarmemory

import (
	"maps"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Copy is the state of a Store at one time, to which it can be restored.
type Copy struct {
	at        time.Time
	revision  int64
	items     map[string]item
	leases    map[fulmarkv.Lease]lease
	lastLease fulmarkv.Lease
}

// SetEra makes the store state an era from now on.
func (s *Store) SetEra(e fulmarera.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = e
}

// Era returns the era that the store states, 0 for none.
func (s *Store) Era() fulmarera.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy returns the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{at: s.now(), revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases), lastLease: s.lastLease}
}

// Restore replaces the state by a copy and begins the next era. Revisions and leases that were given out since the copy are given
// out again, and the leases of the copy have the time left that they had.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.lastLease = c.revision, maps.Clone(c.items), c.lastLease
	s.leases = make(map[fulmarkv.Lease]lease, len(c.leases))
	for id, l := range c.leases {
		l.expires = l.expires.Add(s.now().Sub(c.at))
		s.leases[id] = l
	}
}
