package fulmardedup

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// Verdict states how to handle a request id.
type Verdict uint8

// Verdicts.
const (
	Run          Verdict = iota // first attempt: run it, then call Finish or Abandon
	Wait                        // in flight: wait for the entry
	Replay                      // finished: the entry has the answer
	Unknown                     // may have run under an earlier dispatcher
	AheadOfClock                // the id's time is ahead of the clock by more than the skew bound
)

// Limits that apply where Settings leaves them at zero.
const (
	DefaultMaxIDs   = 1 << 18  // ids
	DefaultMaxBytes = 64 << 20 // headers and bodies of stored answers
)

// Settings holds the limits of a memory.
type Settings struct {
	Retention time.Duration // how long ids are kept
	MaxSkew   time.Duration // maximum difference between clocks
	MaxBody   int           // largest body stored, in bytes
	MaxIDs    int           // maximum number of ids held; DefaultMaxIDs if 0
	MaxBytes  int           // maximum bytes of bodies and headers held; DefaultMaxBytes if 0
}

// slot holds the horizon and the entries of one table slot.
type slot struct {
	horizon int64 // milliseconds since 1970, as in an id
	entries map[uuid.UUID]*Entry
}

// Memory remembers the request ids of one target; it is safe for concurrent use.
type Memory struct {
	mu            sync.Mutex
	settings      Settings
	slots         map[int]*slot
	trackedCount  int
	minHorizon    int64 // milliseconds since 1970; lower bound of all horizons, from the retention
	finishedByAge ageHeap
	bodies        bodyList
	bodyBytes     int
}

// New returns a memory without slots; Open adds them.
func New(s Settings) *Memory {
	if s.MaxIDs <= 0 {
		s.MaxIDs = DefaultMaxIDs
	}
	if s.MaxBytes <= 0 {
		s.MaxBytes = DefaultMaxBytes
	}
	return &Memory{settings: s, slots: make(map[int]*slot)}
}

// Open opens a slot with the horizon now plus twice the skew bound, unless it is already open.
func (m *Memory) Open(now time.Time, slot int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open(slot, now.Add(2*m.settings.MaxSkew).UnixMilli())
}

// open returns the slot and opens it with the horizon if it is closed.
func (m *Memory) open(number int, horizon int64) *slot {
	s := m.slots[number]
	if s == nil {
		s = &slot{horizon: horizon, entries: make(map[uuid.UUID]*Entry)}
		m.slots[number] = s
	}
	return s
}

// Split opens the slot of a hot key with its parent's horizon and moves the
// key's records to it, including those in flight. If the parent is closed, it
// does nothing.
func (m *Memory) Split(parent, slot int, hash uint64) {
	m.moveEntries(parent, slot, func(e *Entry) bool { return e.hash == hash })
}

// Join moves all records of the slot of a former hot key back to its parent,
// gives the parent the later of the horizons, and closes the slot. If the
// parent is closed, it does nothing.
func (m *Memory) Join(parent, slot int) {
	m.mu.Lock()
	from, to := m.slots[slot], m.slots[parent]
	if from == nil || to == nil || from == to {
		m.mu.Unlock()
		return
	}
	to.horizon = max(to.horizon, from.horizon)
	m.mu.Unlock()
	m.moveEntries(slot, parent, func(*Entry) bool { return true })
	m.Close(slot)
}

func (m *Memory) moveEntries(source, target int, match func(*Entry) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := m.slots[source]
	if from == nil || source == target {
		return
	}
	to := m.open(target, from.horizon)
	to.horizon = max(to.horizon, from.horizon)
	for id, e := range from.entries {
		if match(e) {
			delete(from.entries, id)
			e.slot = target
			to.entries[id] = e
		}
	}
}

// Close drops a slot and its records. Entries in flight can still be finished
// or abandoned, which wakes their waiters.
func (m *Memory) Close(slot int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.slots[slot]
	if s == nil {
		return
	}
	for _, e := range s.entries {
		m.untrack(e)
	}
	delete(m.slots, slot)
}

// Begin looks up an id and adds it as in flight if it may run. The entry is nil
// unless the verdict is Run, Wait or Replay. A closed slot gives Unknown.
func (m *Memory) Begin(now time.Time, slot int, hash uint64, id uuid.UUID) (Verdict, *Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raiseMinHorizon(now)
	s := m.slots[slot]
	if s == nil {
		return Unknown, nil
	}
	if e := s.entries[id]; e != nil {
		if e.finished {
			return Replay, e
		}
		return Wait, e
	}
	at, ok := idMillis(id)
	if !ok || at <= max(s.horizon, m.minHorizon) {
		return Unknown, nil
	}
	if at > now.Add(m.settings.MaxSkew).UnixMilli() {
		return AheadOfClock, nil
	}
	e := &Entry{id: id, slot: slot, hash: hash, idTime: at, heapIndex: -1, tracked: true, done: make(chan struct{})}
	s.entries[id] = e
	m.trackedCount++
	m.enforceLimits()
	return Run, e
}

// Finish records the answer of an entry that ran or may have run. The caller
// must not change the answer's header and body afterwards.
func (m *Memory) Finish(e *Entry, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.answered() {
		return
	}
	if len(a.Body) > m.settings.MaxBody {
		a.Body, a.BodyDropped = nil, true
	}
	e.finished = true
	m.setAnswer(e, a)
	if e.tracked {
		m.trackFinished(e)
		m.enforceLimits()
	}
}

// Abandon gives waiters the answer of a request that did not run and drops the
// id, so that a later attempt may run.
func (m *Memory) Abandon(e *Entry, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.answered() {
		return
	}
	if s := m.slots[e.slot]; s != nil && s.entries[e.id] == e {
		delete(s.entries, e.id)
	}
	m.untrack(e)
	m.setAnswer(e, a)
}

func (m *Memory) setAnswer(e *Entry, a Answer) {
	e.answer.Store(&a)
	close(e.done)
}

// Expire drops records older than the retention and raises the horizons accordingly.
func (m *Memory) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raiseMinHorizon(now)
	for len(m.finishedByAge) > 0 && m.finishedByAge[0].idTime <= m.minHorizon {
		m.evictOldest()
	}
}

// raiseMinHorizon raises the lower bound of all horizons, so that ids older than
// the retention are unknown unless they are still held.
func (m *Memory) raiseMinHorizon(now time.Time) {
	m.minHorizon = max(m.minHorizon, now.Add(-m.settings.Retention).UnixMilli())
}

// enforceLimits drops the records with the oldest ids and the earliest finished
// bodies until the limits are met.
func (m *Memory) enforceLimits() {
	for m.trackedCount > m.settings.MaxIDs && len(m.finishedByAge) > 0 {
		m.evictOldest()
	}
	for m.bodyBytes > m.settings.MaxBytes && m.bodies.head != nil {
		e := m.bodies.head
		m.bodyBytes -= e.size
		m.bodies.remove(e)
		a := *e.answer.Load()
		a.Header, a.Body, a.BodyDropped = nil, nil, true
		e.answer.Store(&a)
	}
}

// evictOldest drops the finished record with the oldest id and raises the horizon of
// its slot to the time of that id.
func (m *Memory) evictOldest() {
	e := m.finishedByAge[0]
	s := m.slots[e.slot]
	s.horizon = max(s.horizon, e.idTime)
	delete(s.entries, e.id)
	m.untrack(e)
}

// trackFinished adds a finished entry to the age heap, and its header and body to
// the byte count.
func (m *Memory) trackFinished(e *Entry) {
	m.finishedByAge.push(e)
	a := e.answer.Load()
	if e.size = a.size(); e.size > 0 {
		m.bodyBytes += e.size
		m.bodies.push(e)
	}
}

// untrack removes an entry from the memory's counts, heap and list.
func (m *Memory) untrack(e *Entry) {
	if !e.tracked {
		return
	}
	e.tracked = false
	m.trackedCount--
	if e.heapIndex >= 0 {
		m.finishedByAge.remove(e)
	}
	if e.inBodyList {
		m.bodyBytes -= e.size
		m.bodies.remove(e)
	}
}

// Export returns the finished records and horizons of the slots. Slots that are
// not open are left out.
func (m *Memory) Export(slots []int) Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Snapshot{Horizons: make(map[int]time.Time, len(slots))}
	for _, number := range slots {
		s := m.slots[number]
		if s == nil {
			continue
		}
		horizon := max(s.horizon, m.minHorizon)
		for _, e := range s.entries {
			if !e.finished {
				horizon = max(horizon, e.idTime)
				continue
			}
			out.Records = append(out.Records, Record{ID: e.id, Slot: number, Hash: e.hash, Answer: e.Answer()})
		}
		out.Horizons[number] = time.UnixMilli(horizon)
	}
	return out
}

// Import opens the slots of the snapshot with its horizons and records. A slot
// that is already open gets the later of the two horizons; records of slots without a
// horizon are ignored.
func (m *Memory) Import(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for number, horizon := range s.Horizons {
		to := m.open(number, horizon.UnixMilli())
		to.horizon = max(to.horizon, horizon.UnixMilli())
	}
	for _, r := range s.Records {
		to := m.slots[r.Slot]
		at, ok := idMillis(r.ID)
		if _, sent := s.Horizons[r.Slot]; !sent || !ok || to.entries[r.ID] != nil {
			continue
		}
		e := &Entry{id: r.ID, slot: r.Slot, hash: r.Hash, idTime: at, heapIndex: -1, tracked: true, finished: true, done: make(chan struct{})}
		to.entries[r.ID] = e
		m.trackedCount++
		m.setAnswer(e, r.Answer)
		m.trackFinished(e)
	}
	m.enforceLimits()
}

// Len returns the number of ids held.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trackedCount
}

// idMillis returns the time of an id in milliseconds since 1970, and false unless
// the id is a UUID version 7.
func idMillis(id uuid.UUID) (int64, bool) {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	at := int64(0)
	for _, b := range id[:6] {
		at = at<<8 | int64(b)
	}
	return at, true
}
