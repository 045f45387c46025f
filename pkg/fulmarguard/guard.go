package fulmarguard

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarfingerprint"
)

// Verdict states how a request may run.
type Verdict uint8

// Verdicts.
const (
	Allow   Verdict = iota
	Isolate         // runs alone on its target
	Refuse          // condemned
)

// Mark is a suspect or condemned fingerprint.
type Mark struct {
	Fingerprint uint64
	Condemned   bool
	Until       time.Time
}

// Guard keeps requests that crash targets from running again; it is safe for concurrent use.
type Guard struct {
	mu       sync.Mutex
	ttl      time.Duration
	maxMarks int
	latest   time.Time // latest time passed in
	marks    map[uint64]Mark
	retired  map[uint64]Mark // cleared and lifted marks
}

// New returns a guard whose marks expire after hold and that keeps at most limit marks.
// It panics if hold or limit is not positive.
func New(hold time.Duration, limit int) *Guard {
	if hold <= 0 || limit <= 0 {
		panic("fulmarguard: hold and limit must be positive")
	}
	return &Guard{ttl: hold, maxMarks: limit, marks: make(map[uint64]Mark), retired: make(map[uint64]Mark)}
}

// Fingerprint returns the hash that identifies the work of a request. Only the
// first 64 KB of the body are hashed.
func Fingerprint(service, method, path, key string, body []byte) uint64 {
	return fulmarfingerprint.New(body, service, method, path, key)
}

// Check returns how the work may run at now.
func (g *Guard) Check(now time.Time, fingerprint uint64) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateTime(now)
	m, ok := g.marks[fingerprint]
	switch {
	case !ok || !m.Until.After(now):
		return Allow
	case m.Condemned:
		return Refuse
	}
	return Isolate
}

// RecordLoss records that a target was lost while the fingerprints ran there and
// returns their new marks. Repeated fingerprints count once.
func (g *Guard) RecordLoss(now time.Time, fingerprints []uint64) []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateTime(now)
	g.purge()
	distinct := slices.Clone(fingerprints)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	alone := len(distinct) == 1
	out := make([]Mark, 0, len(distinct))
	for _, f := range distinct {
		m, marked := g.marks[f]
		if !m.Condemned || alone {
			m = Mark{Fingerprint: f, Condemned: marked && alone, Until: now.Add(g.ttl)}
		}
		delete(g.retired, f)
		g.marks[f] = m
		out = append(out, m)
	}
	enforceLimit(g.marks, g.maxMarks)
	return out
}

// Clear ends the suspicion of work that completed.
func (g *Guard) Clear(fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.marks[fingerprint]; ok && !m.Condemned {
		g.retire(m)
	}
}

// Merge adds marks from the table; a condemned mark is never weakened by a suspect one.
func (g *Guard) Merge(marks []Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range marks {
		if e, ok := g.retired[m.Fingerprint]; ok && !supersedes(m, e) {
			continue
		}
		if current, ok := g.marks[m.Fingerprint]; !ok || supersedes(m, current) {
			g.marks[m.Fingerprint] = m
		}
	}
	g.purge()
	enforceLimit(g.marks, g.maxMarks)
}

// supersedes reports whether a supersedes b.
func supersedes(a, b Mark) bool {
	if a.Condemned != b.Condemned {
		return a.Condemned
	}
	return a.Until.After(b.Until)
}

// Lift ends a mark, suspect or condemned, on an operator's request.
func (g *Guard) Lift(fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.marks[fingerprint]; ok {
		g.retire(m)
	}
}

func (g *Guard) retire(m Mark) {
	delete(g.marks, m.Fingerprint)
	g.retired[m.Fingerprint] = m
	enforceLimit(g.retired, g.maxMarks)
}

// Marks returns the marks in force at now, in the order of their fingerprints.
func (g *Guard) Marks(now time.Time) []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateTime(now)
	g.purge()
	out := make([]Mark, 0, len(g.marks))
	for _, m := range g.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Mark) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (g *Guard) updateTime(now time.Time) {
	if now.After(g.latest) {
		g.latest = now
	}
}

// purge drops the marks that have expired.
func (g *Guard) purge() {
	for _, marks := range [...]map[uint64]Mark{g.marks, g.retired} {
		for f, m := range marks {
			if !m.Until.After(g.latest) {
				delete(marks, f)
			}
		}
	}
}

// enforceLimit drops marks until at most limit are left: suspects before
// condemned ones, and within each kind the one that expires first.
func enforceLimit(marks map[uint64]Mark, limit int) {
	for len(marks) > limit {
		var first Mark
		found := false
		for _, m := range marks {
			if !found || droppedBefore(m, first) {
				first, found = m, true
			}
		}
		delete(marks, first.Fingerprint)
	}
}

// droppedBefore reports whether a is dropped before b.
func droppedBefore(a, b Mark) bool {
	if a.Condemned != b.Condemned {
		return b.Condemned
	}
	if !a.Until.Equal(b.Until) {
		return a.Until.Before(b.Until)
	}
	return a.Fingerprint < b.Fingerprint
}
