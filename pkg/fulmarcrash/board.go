package fulmarcrash

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	// sharedFrom is the number of crashes from which all daemons learn of a record. Many targets may end at the same time,
	// with hundreds of requests, nearly all of which are never at another end.
	sharedFrom = CondemnedFrom - 1
	// hold is the time after its latest event for which a record is kept, and so for which condemned work is refused.
	hold = 10 * time.Minute
	// maxRecords bounds the memory and the messages, to about 100 KB.
	maxRecords = 1024
)

// Board holds the records of all work; it is safe for concurrent use.
type Board struct {
	mu         sync.Mutex
	entries    map[uint64]entry
	answers    answers
	version    int64
	generation atomic.Int64
	size       atomic.Int64
	changed    chan struct{}
	ended      endedTargets
}

// entry is a record with the version of the board after its last change that all daemons are to learn of, 0 if there was none.
type entry struct {
	Record
	version int64
}

// New returns an empty board.
func New() *Board { return &Board{entries: make(map[uint64]entry), changed: make(chan struct{}, 1)} }

// Changed returns a channel that holds a value after changes of which all daemons are to learn. It serves one receiver.
func (b *Board) Changed() <-chan struct{} { return b.changed }

// IsEmpty reports whether there are no records, so that requests need no fingerprint.
func (b *Board) IsEmpty() bool { return b.size.Load() == 0 }

// RecordCrash records that a target ended during a request with the given work, and returns the record.
func (b *Board) RecordCrash(work uint64, c Crash) Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.merge(Record{Work: work, Crashes: []Crash{c}})
	return b.entries[work].Record
}

// RecordAnswer records that a target has answered the work, and reports whether that ends a suspicion. Answers to other work are
// remembered for a while, for crashes before them of which the board learns later.
func (b *Board) RecordAnswer(now time.Time, work uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers.add(now, work)
	if e, ok := b.entries[work]; !ok || len(e.Crashes) == 0 {
		return false
	}
	b.merge(Record{Work: work, AnsweredAt: now})
	return true
}

// RecordLife records that a target has run a request that was sent at the given time, so that it has not ended before. It withdraws
// the crashes of the target up to then, with those before them, and reports whether there were any.
func (b *Board) RecordLife(target fulmarrange.Incarnation, sentAt time.Time) (taken bool) {
	if b.IsEmpty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended.has(target, b.generation.Load(), b.entries) {
		return false
	}
	for work, e := range b.entries {
		for _, c := range e.Crashes {
			if c.Target == target && c.At.Before(sentAt) {
				b.merge(Record{Work: work, AnsweredAt: c.At})
				taken = true
			}
		}
	}
	return taken
}

// Merge adds what others know, and reports whether that changes a record of which all daemons are to learn.
func (b *Board) Merge(records []Record) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		changed = b.merge(r) || changed
	}
	return changed
}

// merge adds what a record knows, and reports whether all daemons are to learn of the change. The caller holds mu.
func (b *Board) merge(r Record) (changed bool) {
	e := b.entries[r.Work]
	next := r.Merge(e.Record).WithAnswer(b.answers.find(r.Work))
	// Whoever sent a crash that an answer has cleared here does not know of the answer.
	same := next.SameCrashes(e.Record) && !r.hasCrashUpTo(next.AnsweredAt)
	e.Record = next
	if !same {
		b.generation.Add(1)
		if changed = len(next.Crashes) >= sharedFrom || len(r.Crashes) >= sharedFrom || e.version > 0; changed {
			b.version++
			e.version = b.version
			select {
			case b.changed <- struct{}{}:
			default: // the receiver has yet to take the former value
			}
		}
	}
	b.entries[r.Work] = e
	for len(b.entries) > maxRecords {
		b.dropLeast()
	}
	b.size.Store(int64(len(b.entries)))
	return changed
}

// dropLeast drops the record with the fewest crashes, of those the one whose latest event is the oldest. The caller holds mu.
func (b *Board) dropLeast() {
	var least *entry
	for _, e := range b.entries {
		if least == nil || cmp.Or(cmp.Compare(len(e.Crashes), len(least.Crashes)), e.latest().Compare(least.latest())) < 0 {
			least = &e
		}
	}
	delete(b.entries, least.Work)
}

// Condemned reports whether the work is to be refused, and for how long from now on.
func (b *Board) Condemned(now time.Time, work uint64) (left time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[work]
	left = hold - now.Sub(e.latest())
	return left, e.IsCondemned() && left > 0
}

// Records returns all records, sorted by work.
func (b *Board) Records() []Record { return b.list(func(entry) bool { return true }) }

// Shared returns the records of which all daemons are to learn and that must outlast them, sorted by work.
func (b *Board) Shared() []Record {
	return b.list(func(e entry) bool { return len(e.Crashes) >= sharedFrom })
}

// Changes returns the records that were last changed after version after and up to version upTo, as far as all daemons are
// to learn of them, sorted by work.
func (b *Board) Changes(after, upTo int64) []Record {
	return b.list(func(e entry) bool { return e.version > max(after, 0) && e.version <= upTo })
}

func (b *Board) list(include func(entry) bool) (out []Record) {
	if b.IsEmpty() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if include(e) {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return cmp.Compare(x.Work, y.Work) })
	return out
}

// Version returns the number of changes so far of which all daemons are to learn.
func (b *Board) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Generation returns the number of changes so far.
func (b *Board) Generation() int64 { return b.generation.Load() }

// Expire drops the records whose latest event is too old at now.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for work, e := range b.entries {
		if now.Sub(e.latest()) >= hold {
			delete(b.entries, work)
		}
	}
	b.size.Store(int64(len(b.entries)))
}
