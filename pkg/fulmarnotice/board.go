package fulmarnotice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	// MaxPause is the longest pause that is believed. A target that wants none of its requests for longer leaves; more is
	// damage, such as a time in another unit.
	MaxPause = time.Hour
	// trialTimeout is the time after which the first request after a pause no longer holds back others. It is longer than
	// most requests take.
	trialTimeout = 2 * time.Second
	// trialWait is the time after which a request that the first one after a pause holds back may come again.
	trialWait = 150 * time.Millisecond
)

// entry is a notice with the state of the first request after its pause.
type entry struct {
	Notice
	untested bool      // no request has been answered since the end of the pause
	trialAt  time.Time // when the first request was admitted; zero if there is none under way
}

// Board holds the notices of all targets; it is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	entries map[fulmarrange.Incarnation]entry
	// notices is a copy of the notices, which is replaced when one changes. A choice among hundreds of targets reads it
	// without mu.
	notices atomic.Pointer[map[fulmarrange.Incarnation]Notice]
	version atomic.Int64 // number of copies
}

// New returns a board without notices.
func New() *Board {
	b := &Board{entries: make(map[fulmarrange.Incarnation]entry)}
	b.copyNotices()
	return b
}

// Get returns the notice of a target, which says nothing if there is none.
func (b *Board) Get(target fulmarrange.Incarnation) Notice { return b.Notices()[target] }

// Notices returns all notices by target; the caller must not modify them.
func (b *Board) Notices() map[fulmarrange.Incarnation]Notice { return *b.notices.Load() }

// copyNotices replaces the copy of the notices. The caller holds mu.
func (b *Board) copyNotices() {
	out := make(map[fulmarrange.Incarnation]Notice, len(b.entries))
	for target, e := range b.entries {
		out[target] = e.Notice
	}
	b.notices.Store(&out)
	b.version.Add(1)
}

// Version returns a number that changes with the notices.
func (b *Board) Version() int64 { return b.version.Load() }

// RecordLeaving records that a target said at the given time that it leaves, and reports whether that is new.
func (b *Board) RecordLeaving(target fulmarrange.Incarnation, at time.Time) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[target]
	isNew = !e.IsLeaving()
	next := e.WithLeaving(at)
	if next.Target = target; next == e.Notice {
		return false
	}
	e.Notice = next
	b.entries[target] = e
	b.copyNotices()
	return isNew
}

// RecordPause records that a target wants no requests until the given time, and reports whether that is later than it said
// before.
func (b *Board) RecordPause(target fulmarrange.Incarnation, until time.Time) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[target]
	changed = until.After(e.PausedUntil)
	e.Notice = e.WithPause(until)
	e.Target, e.untested, e.trialAt = target, true, time.Time{}
	b.entries[target] = e
	b.copyNotices()
	return changed
}

// RecordAnswer records an answer of a target without a pause. Once the pause is over, it ends the time in which one request
// after another is admitted, and reports whether it did.
func (b *Board) RecordAnswer(target fulmarrange.Incarnation, now time.Time) (ended bool) {
	if len(b.Notices()) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[target]
	if !ok || !e.untested || e.PauseLeft(now) > 0 {
		return false
	}
	e.untested, e.trialAt = false, time.Time{}
	b.entries[target] = e
	return true
}

// RecordFailure records that a request to a target ended without an answer, so that the next one is admitted.
func (b *Board) RecordFailure(target fulmarrange.Incarnation) {
	if len(b.Notices()) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.entries[target]; ok && e.untested {
		e.trialAt = time.Time{}
		b.entries[target] = e
	}
}

// Admit reports whether a request may be sent to a target now. Otherwise, wait is the time until one may. After a pause, one
// request is admitted first, and the others once it has been answered, so that the target does not get all that waited.
func (b *Board) Admit(target fulmarrange.Incarnation, now time.Time) (wait time.Duration, ok bool) {
	if len(b.Notices()) == 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.entries[target]
	if !known {
		return 0, true
	}
	if left := e.PauseLeft(now); left > 0 {
		return left, false
	}
	if !e.untested {
		return 0, true
	}
	if !e.trialAt.IsZero() && now.Sub(e.trialAt) < trialTimeout {
		return trialWait, false
	}
	e.trialAt = now
	b.entries[target] = e
	return 0, true
}

// Leaving returns when each of the targets that leave said so first.
func (b *Board) Leaving() map[fulmarrange.Incarnation]time.Time {
	out := make(map[fulmarrange.Incarnation]time.Time)
	for target, n := range b.Notices() {
		if n.IsLeaving() {
			out[target] = n.LeavingSince
		}
	}
	return out
}

// Retain drops the notices of targets for whose ids keep returns false.
func (b *Board) Retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target := range b.entries {
		if !keep(target.ID) {
			delete(b.entries, target)
		}
	}
	b.copyNotices()
}
