package fulmarlimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Statement is what a target stated about its limit in one answer.
type Statement struct {
	Target     string
	Limited    bool
	Rate       float64   // requests per second, if Limited
	SentAt     time.Time // when the answered request was sent
	ReceivedAt time.Time // when the answer was received
	// LimitedSince is when the answer that first stated the limit was received; a Board sets it.
	LimitedSince time.Time
}

// rateTolerance is the relative difference up to which limits count as equal. A target may state another rate in each
// answer, and every change is sent to all daemons.
const rateTolerance = 0.1

// SameLimit reports whether both statements state about the same limit, or none.
func (s Statement) SameLimit(o Statement) bool {
	return s.Limited == o.Limited && (!s.Limited || math.Abs(s.Rate-o.Rate) <= rateTolerance*max(s.Rate, o.Rate))
}

// IsValid reports whether the statement is one that a target can make: answers and messages may be damaged.
func (s Statement) IsValid() bool {
	return !s.Limited || s.Rate >= 0 && !math.IsInf(s.Rate, 1)
}

// supersedes reports whether s is known to have been made after old. A statement without a limit may have been made
// before any answer that was received after its request had been sent; a limit must not end by mistake.
func (s Statement) supersedes(old Statement) bool {
	if !s.Limited && old.Limited {
		return !s.SentAt.Before(old.ReceivedAt)
	}
	return s.ReceivedAt.After(old.ReceivedAt)
}

// Board holds the latest statement of each target that has stated a limit; it is safe for concurrent use.
type Board struct {
	mu         sync.Mutex
	statements map[string]entry
	version    int64
}

// entry is the latest statement of a target.
type entry struct {
	Statement
	noted   Statement // the statement that last changed the limit notably
	version int64     // of the board after that change
}

// New returns a board without statements.
func New() *Board { return &Board{statements: make(map[string]entry)} }

// Record takes a statement into account, unless its rate is negative or not a number, and reports whether the limit of its
// target has changed notably.
func (b *Board) Record(s Statement) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.statements[s.Target]
	if !s.IsValid() || !known && !s.Limited || known && !s.supersedes(e.Statement) {
		return false
	}
	if s.LimitedSince = s.ReceivedAt; known && e.Limited {
		s.LimitedSince = e.LimitedSince
	}
	changed = !known || !s.SameLimit(e.noted)
	if changed {
		b.version++
		e.noted, e.version = s, b.version
	}
	e.Statement = s
	b.statements[s.Target] = e
	return changed
}

// Rate returns the limit of a target in requests per second; ok is false if it has none.
func (b *Board) Rate(target string) (rate float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statements[target]
	return s.Rate, s.Limited
}

// Latest returns the latest statement of a target that states a limit or has ended it. An end is dated by the answer that
// first showed it.
func (b *Board) Latest(target string) (s Statement, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.statements[target]
	if ok && !e.Limited {
		return e.noted, true
	}
	return e.Statement, ok
}

// Statements returns the latest statements of all targets, sorted by target. They include those that ended a limit, so that
// an older statement of a limit is recognised.
func (b *Board) Statements() []Statement { return b.Changes(0, math.MaxInt64) }

// Changes returns the latest statements of the targets whose limit last changed notably after version after and up to
// version upTo, sorted by target.
func (b *Board) Changes(after, upTo int64) []Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Statement, 0, len(b.statements))
	for _, e := range b.statements {
		if e.version > after && e.version <= upTo {
			out = append(out, e.Statement)
		}
	}
	slices.SortFunc(out, func(x, y Statement) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// Version returns the number of notable changes of a limit so far.
func (b *Board) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Retain drops the statements of targets for which keep returns false.
func (b *Board) Retain(keep func(target string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, s := range b.statements {
		if keep(target) {
			continue
		}
		delete(b.statements, target)
		if s.Limited {
			b.version++
		}
	}
}
