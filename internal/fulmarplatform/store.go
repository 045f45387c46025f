package fulmarplatform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"
)

// MaxValueSize is the largest size of a value, in bytes.
const MaxValueSize = 1 << 20

var errInvalidSession = errors.New("fulmarplatform: invalid session")

// entry is a key's value with the indexes of its creation and last change, and the
// session that holds it as a lock.
type entry struct {
	value                    []byte
	createIndex, modifyIndex uint64
	lockIndex                uint64 // number of times that the lock was acquired
	sessionID                string // empty if no session holds the key
}

// session is a lease on the keys that it holds, which ends unless it is renewed.
type session struct {
	ttl        time.Duration
	deleteKeys bool // when the session ends, delete the keys that it holds instead of releasing them
	expires    time.Time
}

// store holds the entries and the sessions; it is safe for concurrent use.
type store struct {
	mu          sync.Mutex
	index       uint64
	entries     map[string]entry
	sessions    map[string]session
	lastSession int           // number in the ID of the newest session
	changed     chan struct{} // closed and replaced at each change of an entry
	now         func() time.Time
}

func newStore(now func() time.Time) *store {
	return &store{
		index: 1, entries: map[string]entry{}, sessions: map[string]session{},
		changed: make(chan struct{}), now: now,
	}
}

// nextIndex increments the index of the store for a change, wakes the blocking reads and
// returns the new index. The caller holds mu.
func (s *store) nextIndex() uint64 {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.index
}

// expireSessions ends the sessions that have expired. The caller holds mu.
func (s *store) expireSessions() {
	now := s.now()
	for id, ses := range s.sessions {
		if ses.expires.Before(now) {
			s.endSession(id)
		}
	}
}

// endSession removes a session and releases or deletes the keys that it holds. The caller
// holds mu.
func (s *store) endSession(id string) {
	ses := s.sessions[id]
	delete(s.sessions, id)
	for key, e := range s.entries {
		if e.sessionID != id {
			continue
		}
		if ses.deleteKeys {
			delete(s.entries, key)
			s.nextIndex()
			continue
		}
		e.sessionID, e.modifyIndex = "", s.nextIndex()
		s.entries[key] = e
	}
}

// get returns the entry of key and the index of its last change, or the index of the
// store and false if the key is absent.
func (s *store) get(key string) (entry, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions()
	e, ok := s.entries[key]
	if !ok {
		return entry{}, s.index, false
	}
	return e, e.modifyIndex, true
}

// waitForChange blocks until the index of key, or of the store if key is absent, differs
// from index, ctx ends or limit has passed.
func (s *store) waitForChange(ctx context.Context, key string, index uint64, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		e, ok := s.entries[key]
		current := s.index
		if ok {
			current = e.modifyIndex
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

// put writes value and reports whether its conditions held. A nil cas means no condition
// on the index; a cas of 0 requires that the key is absent. If acquire is not empty, that
// session must exist and take the lock on the key, which no other session may hold.
func (s *store) put(key string, value []byte, cas *uint64, acquire string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions()
	e, ok := s.entries[key]
	if cas != nil && (*cas != e.modifyIndex || ok != (*cas != 0)) {
		return false, nil
	}
	if acquire != "" {
		if _, live := s.sessions[acquire]; !live {
			return false, errInvalidSession
		}
		if e.sessionID != "" && e.sessionID != acquire {
			return false, nil
		}
		if e.sessionID == "" {
			e.lockIndex++
		}
		e.sessionID = acquire
	}
	e.value, e.modifyIndex = value, s.nextIndex()
	if !ok {
		e.createIndex = e.modifyIndex
	}
	s.entries[key] = e
	return true, nil
}

// release writes value and releases the lock on key. It reports false and does nothing if
// session does not hold the lock.
func (s *store) release(key, session string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions()
	e, ok := s.entries[key]
	if !ok || e.sessionID != session {
		return false
	}
	e.sessionID, e.value, e.modifyIndex = "", value, s.nextIndex()
	s.entries[key] = e
	return true
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.nextIndex()
	}
}

// createSession starts a session and returns its ID.
func (s *store) createSession(ttl time.Duration, deleteKeys bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSession++
	id := "session-" + strconv.Itoa(s.lastSession)
	s.sessions[id] = session{ttl: ttl, deleteKeys: deleteKeys, expires: s.now().Add(ttl)}
	return id
}

// renewSession extends a session by its TTL, which it returns, and reports whether the
// session exists.
func (s *store) renewSession(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions()
	ses, ok := s.sessions[id]
	if ok {
		ses.expires = s.now().Add(ses.ttl)
		s.sessions[id] = ses
	}
	return ses.ttl, ok
}

// destroySession ends a session.
func (s *store) destroySession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(id)
}

// sweepSessions ends expired sessions, so that blocking reads of their keys wake without
// another call.
func (s *store) sweepSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions()
}
