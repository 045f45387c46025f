package fulmardedup

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Answer is the recorded result of a request.
type Answer struct {
	Outcome     string              `cbor:"outcome"`
	Reason      string              `cbor:"reason,omitempty"`
	Status      int                 `cbor:"status"`
	Header      map[string][]string `cbor:"header,omitempty"`
	Body        []byte              `cbor:"body,omitempty"`
	BodyDropped bool                `cbor:"dropped,omitempty"` // the header or body was not kept: over a size limit
}

// size returns the bytes of the body and the header.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Entry is the record of one request id. The memory's lock guards its fields
// except done and answer.
type Entry struct {
	id       uuid.UUID
	slot     int
	hash     uint64 // of the key
	idTime   int64  // milliseconds since 1970, as in the id
	finished bool
	tracked  bool // included in the memory's counts
	done     chan struct{}
	answer   atomic.Pointer[Answer]

	heapIndex  int  // index in the age heap, or -1
	size       int  // bytes of the answer that count as held
	inBodyList bool // in the memory's list of bodies
	prev, next *Entry
}

// Done returns a channel that is closed when the entry is finished or abandoned.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Answer returns the recorded answer; it panics before Done is closed.
func (e *Entry) Answer() Answer {
	a := e.answer.Load()
	if a == nil {
		panic("fulmardedup: answer of an entry that is in flight")
	}
	return *a
}

func (e *Entry) answered() bool { return e.answer.Load() != nil }

// Snapshot holds the horizons and records of some slots, for handover to another
// dispatcher.
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

// bodyList holds the finished entries with a body or header, in order of completion.
type bodyList struct{ head, tail *Entry }

func (l *bodyList) push(e *Entry) {
	e.prev, e.next, e.inBodyList = l.tail, nil, true
	if l.tail != nil {
		l.tail.next = e
	} else {
		l.head = e
	}
	l.tail = e
}

func (l *bodyList) remove(e *Entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.tail = e.prev
	}
	e.prev, e.next, e.inBodyList = nil, nil, false
}

// ageHeap holds the finished entries, the oldest id first.
type ageHeap []*Entry

func (h *ageHeap) push(e *Entry) {
	*h = append(*h, e)
	h.up(len(*h) - 1)
}

func (h *ageHeap) remove(e *Entry) {
	i, last := e.heapIndex, len(*h)-1
	e.heapIndex = -1
	moved := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		(*h)[i] = moved
		h.down(i)
		h.up(moved.heapIndex)
	}
}

func (h *ageHeap) up(i int) {
	s := *h
	e := s[i]
	for ; i > 0; i = (i - 1) / 2 {
		parent := s[(i-1)/2]
		if parent.idTime <= e.idTime {
			break
		}
		s[i], parent.heapIndex = parent, i
	}
	s[i], e.heapIndex = e, i
}

func (h *ageHeap) down(i int) {
	s := *h
	e := s[i]
	for {
		child := 2*i + 1
		if child >= len(s) {
			break
		}
		if child+1 < len(s) && s[child+1].idTime < s[child].idTime {
			child++
		}
		if s[child].idTime >= e.idTime {
			break
		}
		s[i], s[child].heapIndex = s[child], i
		i = child
	}
	s[i], e.heapIndex = e, i
}
