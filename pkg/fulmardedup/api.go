package fulmardedup

import (
	"time"

	"github.com/google/uuid"
)

// Verdict says what to do with a request id.
type Verdict uint8

// Verdicts.
const (
	Run     Verdict = iota // first attempt: run it, then call Finish or Abandon
	Wait                   // in flight: wait for the entry
	Replay                 // finished: the entry has the answer
	Unknown                // may have run under an earlier dispatcher
	Ahead                  // the id's time is ahead of the clock by more than the skew bound
)

// Answer is the recorded result of a request.
type Answer struct {
	Outcome string              `cbor:"outcome"`
	Reason  string              `cbor:"reason,omitempty"`
	Status  int                 `cbor:"status"`
	Header  map[string][]string `cbor:"header,omitempty"`
	Body    []byte              `cbor:"body,omitempty"`
	Dropped bool                `cbor:"dropped,omitempty"` // the body was too large to keep
}

// Settings bound a memory.
type Settings struct {
	Span time.Duration // how long ids are kept
	Skew time.Duration // bound on the difference between clocks
	Body int           // largest body kept, in bytes
}

// Entry is the record of one request id.
type Entry struct{}

// Done returns a channel that is closed when the entry is finished or abandoned.
func (e *Entry) Done() <-chan struct{} { panic("fulmardedup: not implemented") }

// Answer returns the recorded answer; it panics before Done is closed.
func (e *Entry) Answer() Answer { panic("fulmardedup: not implemented") }

// Snapshot is the memory of some slots, for another dispatcher.
type Snapshot struct {
	Horizons map[int]time.Time `cbor:"horizons"`
	Records  []Record          `cbor:"records"`
}

// Record is a finished request in a snapshot.
type Record struct {
	ID     uuid.UUID `cbor:"id"`
	Slot   int       `cbor:"slot"`
	Hash   uint64    `cbor:"hash"`
	Answer Answer    `cbor:"answer"`
}

// Memory remembers the request ids of one target; it is safe for concurrent use.
type Memory struct{}

// New returns a memory without any slot; Open adds slots.
func New(s Settings) *Memory { panic("fulmardedup: not implemented") }

// Open starts the memory of a slot with the horizon now plus twice the skew bound, unless it is open.
func (m *Memory) Open(now time.Time, slot int) { panic("fulmardedup: not implemented") }

// Split opens the slot of a hot key with its parent's horizon and moves the key's records to it.
func (m *Memory) Split(parent, slot int, hash uint64) { panic("fulmardedup: not implemented") }

// Close forgets a slot and its records.
func (m *Memory) Close(slot int) { panic("fulmardedup: not implemented") }

// Begin looks up an id; entry is nil unless the verdict is Run, Wait or Replay. A closed slot gives Unknown.
func (m *Memory) Begin(now time.Time, slot int, hash uint64, id uuid.UUID) (Verdict, *Entry) {
	panic("fulmardedup: not implemented")
}

// Finish records the answer of an entry that ran or may have run.
func (m *Memory) Finish(e *Entry, a Answer) { panic("fulmardedup: not implemented") }

// Abandon gives waiters the not-run answer and forgets the id, so that a later attempt may run.
func (m *Memory) Abandon(e *Entry, a Answer) { panic("fulmardedup: not implemented") }

// Expire drops records older than the span and raises the horizons accordingly.
func (m *Memory) Expire(now time.Time) { panic("fulmardedup: not implemented") }

// Export returns the finished records and horizons of the slots.
func (m *Memory) Export(slots []int) Snapshot { panic("fulmardedup: not implemented") }

// Import opens the slots of the snapshot with its horizons and records.
func (m *Memory) Import(s Snapshot) { panic("fulmardedup: not implemented") }

// Len returns the number of ids held.
func (m *Memory) Len() int { panic("fulmardedup: not implemented") }
