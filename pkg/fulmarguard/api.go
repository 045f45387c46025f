package fulmarguard

import "time"

// Verdict says how a request may run.
type Verdict uint8

// Verdicts.
const (
	Allow   Verdict = iota
	Isolate         // runs alone on its target
	Refuse          // condemned
)

// Mark is a fingerprint under suspicion.
type Mark struct {
	Fingerprint uint64
	Condemned   bool
	Until       time.Time
}

// Guard keeps requests that crash targets from running again; it is safe for concurrent use.
type Guard struct{}

// New returns a guard that condemns for hold and keeps at most limit marks.
func New(hold time.Duration, limit int) *Guard { panic("fulmarguard: not implemented") }

// Fingerprint returns the hash that identifies the work of a request.
func Fingerprint(service, method, path, key string, body []byte) uint64 {
	panic("fulmarguard: not implemented")
}

// Check returns how the work may run at now.
func (g *Guard) Check(now time.Time, fingerprint uint64) Verdict {
	panic("fulmarguard: not implemented")
}

// Lost records that a target was lost while the fingerprints ran there and returns their new marks.
func (g *Guard) Lost(now time.Time, fingerprints []uint64) []Mark {
	panic("fulmarguard: not implemented")
}

// Clear ends the suspicion of work that completed.
func (g *Guard) Clear(fingerprint uint64) { panic("fulmarguard: not implemented") }

// Merge takes over marks from the table; a condemned mark is never weakened by a suspect one.
func (g *Guard) Merge(marks []Mark) { panic("fulmarguard: not implemented") }

// Lift ends a mark by order of an operator, suspect or condemned.
func (g *Guard) Lift(fingerprint uint64) { panic("fulmarguard: not implemented") }

// Marks returns the marks in force at now.
func (g *Guard) Marks(now time.Time) []Mark { panic("fulmarguard: not implemented") }
