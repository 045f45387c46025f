package fulmardedup

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// Verdict says what to do with a request id.
type Verdict uint8

// Verdicts.
const (
	Run          Verdict = iota // first attempt: run it, then call Finish or Abandon
	Wait                        // in flight: wait for the entry
	Replay                      // finished: the entry has the answer
	Unknown                     // may have run under an earlier dispatcher
	AheadOfClock                // the id's time is ahead of the clock by more than the skew bound
)

// Bounds that apply where Settings leaves them at zero.
const (
	DefaultMaxIDs   = 1 << 18  // ids
	DefaultMaxBytes = 64 << 20 // kept answers
)

// Settings bound a memory.
type Settings struct {
	Retention time.Duration // how long ids are kept
	MaxSkew   time.Duration // bound on the difference between clocks
	MaxBody   int           // largest body kept, in bytes
	MaxIDs    int           // most ids held; DefaultLimit if 0
	MaxBytes  int           // most bytes of bodies and headers held; DefaultBytes if 0
}

// slot is the memory of one table slot.
type slot struct {
	horizon int64 // milliseconds since 1970, as in an id
	entries map[uuid.UUID]*Entry
}

// Memory remembers the request ids of one target; it is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	settings Settings
	slots    map[int]*slot
	held     int
	floor    int64 // horizon of all slots, from the span
	oldest   ageHeap
	bodies   bodyList
	bytes    int
}

// New returns a memory without any slot; Open adds slots.
func New(s Settings) *Memory {
	if s.MaxIDs <= 0 {
		s.MaxIDs = DefaultMaxIDs
	}
	if s.MaxBytes <= 0 {
		s.MaxBytes = DefaultMaxBytes
	}
	return &Memory{settings: s, slots: make(map[int]*slot)}
}

// Open starts the memory of a slot with the horizon now plus twice the skew bound, unless it is open.
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
	m.move(parent, slot, func(e *Entry) bool { return e.hash == hash })
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
	m.move(slot, parent, func(*Entry) bool { return true })
	m.Close(slot)
}

func (m *Memory) move(source, target int, match func(*Entry) bool) {
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

// Close forgets a slot and its records. Entries in flight can still be finished
// or abandoned for those that wait for them.
func (m *Memory) Close(slot int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.slots[slot]
	if s == nil {
		return
	}
	for _, e := range s.entries {
		m.forget(e)
	}
	delete(m.slots, slot)
}

// Begin looks up an id; entry is nil unless the verdict is Run, Wait or Replay. A closed slot gives Unknown.
func (m *Memory) Begin(now time.Time, slot int, hash uint64, id uuid.UUID) (Verdict, *Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raise(now)
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
	at, ok := stamp(id)
	if !ok || at <= max(s.horizon, m.floor) {
		return Unknown, nil
	}
	if at > now.Add(m.settings.MaxSkew).UnixMilli() {
		return AheadOfClock, nil
	}
	e := &Entry{id: id, slot: slot, hash: hash, at: at, place: -1, held: true, done: make(chan struct{})}
	s.entries[id] = e
	m.held++
	m.trim()
	return Run, e
}

// Finish records the answer of an entry that ran or may have run. The caller
// must not change the answer's header and body afterwards.
func (m *Memory) Finish(e *Entry, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.ended() {
		return
	}
	if len(a.Body) > m.settings.MaxBody {
		a.Body, a.BodyDropped = nil, true
	}
	e.finished = true
	m.end(e, a)
	if e.held {
		m.keep(e)
		m.trim()
	}
}

// Abandon gives waiters the not-run answer and forgets the id, so that a later attempt may run.
func (m *Memory) Abandon(e *Entry, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.ended() {
		return
	}
	if s := m.slots[e.slot]; s != nil && s.entries[e.id] == e {
		delete(s.entries, e.id)
	}
	m.forget(e)
	m.end(e, a)
}

func (m *Memory) end(e *Entry, a Answer) {
	e.answer.Store(&a)
	close(e.done)
}

// Expire drops records older than the span and raises the horizons accordingly.
func (m *Memory) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raise(now)
	for len(m.oldest) > 0 && m.oldest[0].at <= m.floor {
		m.evict()
	}
}

// raise makes ids older than the span unknown unless they are still held.
func (m *Memory) raise(now time.Time) {
	m.floor = max(m.floor, now.Add(-m.settings.Retention).UnixMilli())
}

// trim drops the oldest records and bodies beyond the limits.
func (m *Memory) trim() {
	for m.held > m.settings.MaxIDs && len(m.oldest) > 0 {
		m.evict()
	}
	for m.bytes > m.settings.MaxBytes && m.bodies.head != nil {
		e := m.bodies.head
		m.bytes -= e.size
		m.bodies.remove(e)
		a := *e.answer.Load()
		a.Header, a.Body, a.BodyDropped = nil, nil, true
		e.answer.Store(&a)
	}
}

// evict drops the finished record with the oldest id and raises the horizon of
// its slot to it.
func (m *Memory) evict() {
	e := m.oldest[0]
	s := m.slots[e.slot]
	s.horizon = max(s.horizon, e.at)
	delete(s.entries, e.id)
	m.forget(e)
}

// keep accounts for a finished record.
func (m *Memory) keep(e *Entry) {
	m.oldest.push(e)
	a := e.answer.Load()
	if e.size = a.size(); e.size > 0 {
		m.bytes += e.size
		m.bodies.push(e)
	}
}

// forget ends the accounting of an entry.
func (m *Memory) forget(e *Entry) {
	if !e.held {
		return
	}
	e.held = false
	m.held--
	if e.place >= 0 {
		m.oldest.remove(e)
	}
	if e.listed {
		m.bytes -= e.size
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
		horizon := max(s.horizon, m.floor)
		for _, e := range s.entries {
			if !e.finished {
				horizon = max(horizon, e.at)
				continue
			}
			out.Records = append(out.Records, Record{ID: e.id, Slot: number, Hash: e.hash, Answer: e.Answer()})
		}
		out.Horizons[number] = time.UnixMilli(horizon)
	}
	return out
}

// Import opens the slots of the snapshot with its horizons and records. A slot
// that is already open keeps the later horizon; records of slots without a
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
		at, ok := stamp(r.ID)
		if _, sent := s.Horizons[r.Slot]; !sent || !ok || to.entries[r.ID] != nil {
			continue
		}
		e := &Entry{id: r.ID, slot: r.Slot, hash: r.Hash, at: at, place: -1, held: true, finished: true, done: make(chan struct{})}
		to.entries[r.ID] = e
		m.held++
		m.end(e, r.Answer)
		m.keep(e)
	}
	m.trim()
}

// Len returns the number of ids held.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// stamp returns the time of an id in milliseconds since 1970, and false unless
// the id is a UUID version 7.
func stamp(id uuid.UUID) (int64, bool) {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	at := int64(0)
	for _, b := range id[:6] {
		at = at<<8 | int64(b)
	}
	return at, true
}
