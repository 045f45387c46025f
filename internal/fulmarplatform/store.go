package fulmarplatform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"
)

// MaxValue is the largest size of a value, in bytes.
const MaxValueSize = 1 << 20

var errSession = errors.New("fulmarplatform: invalid session")

type entry struct {
	value          []byte
	create, modify uint64
	lock           uint64
	session        string
}

type session struct {
	ttl     time.Duration
	destroy bool // delete the keys it holds instead of releasing them
	until   time.Time
}

// store is the key-value state with its sessions; it is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	index    uint64
	entries  map[string]entry
	sessions map[string]session
	serial   int
	changed  chan struct{} // closed and replaced at each change
	now      func() time.Time
}

func newStore(now func() time.Time) *store {
	return &store{
		index: 1, entries: map[string]entry{}, sessions: map[string]session{},
		changed: make(chan struct{}), now: now,
	}
}

// bump counts a change and wakes the blocking reads; mu is held.
func (s *store) bump() uint64 {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.index
}

// expire ends the sessions whose time is over; mu is held.
func (s *store) expire() {
	now := s.now()
	for id, held := range s.sessions {
		if held.until.Before(now) {
			s.end(id)
		}
	}
}

// end removes a session and releases or deletes the keys that it holds; mu is held.
func (s *store) end(id string) {
	held := s.sessions[id]
	delete(s.sessions, id)
	for key, e := range s.entries {
		if e.session != id {
			continue
		}
		if held.destroy {
			delete(s.entries, key)
			s.bump()
			continue
		}
		e.session, e.modify = "", s.bump()
		s.entries[key] = e
	}
}

// get returns the entry of key and the index of its last change, or the
// store's index if the key is absent.
func (s *store) get(key string) (entry, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return entry{}, s.index, false
	}
	return e, e.modify, true
}

// wait blocks until key has an index other than index, ctx ends or the time is over.
func (s *store) wait(ctx context.Context, key string, index uint64, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		e, ok := s.entries[key]
		current := s.index
		if ok {
			current = e.modify
		}
		s.mu.Unlock()
		if current != index {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// put writes value unless a condition fails. A nil cas means no condition on the
// index; a cas of 0 requires that the key is absent.
func (s *store) put(key string, value []byte, cas *uint64, acquire string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if cas != nil && (*cas != e.modify || ok != (*cas != 0)) {
		return false, nil
	}
	if acquire != "" {
		if _, live := s.sessions[acquire]; !live {
			return false, errSession
		}
		if e.session != "" && e.session != acquire {
			return false, nil
		}
		if e.session == "" {
			e.lock++
		}
		e.session = acquire
	}
	e.value, e.modify = value, s.bump()
	if !ok {
		e.create = e.modify
	}
	s.entries[key] = e
	return true, nil
}

// release gives up a key that session holds and keeps its value.
func (s *store) release(key, session string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok || e.session != session {
		return false
	}
	e.session, e.value, e.modify = "", value, s.bump()
	s.entries[key] = e
	return true
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.bump()
	}
}

func (s *store) create(ttl time.Duration, destroy bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	id := "session-" + strconv.Itoa(s.serial)
	s.sessions[id] = session{ttl: ttl, destroy: destroy, until: s.now().Add(ttl)}
	return id
}

func (s *store) renew(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held, ok := s.sessions[id]
	if ok {
		held.until = s.now().Add(held.ttl)
		s.sessions[id] = held
	}
	return held.ttl, ok
}

func (s *store) destroy(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// sweep expires sessions, so that watches of their keys wake without another call.
func (s *store) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}
