package fulmarguard

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict says how a request may run.
type Verdict uint8

// Verdicts.
const (
	Allow   Verdict = iota
	Isolate         // runs alone on its target
	Refuse          // condemned
)

// maxBody is how much of a body counts, in bytes; it bounds the cost of a
// fingerprint.
const maxBody = 64 << 10

// Mark is a fingerprint under suspicion.
type Mark struct {
	Fingerprint uint64
	Condemned   bool
	Until       time.Time
}

// Guard keeps requests that crash targets from running again; it is safe for concurrent use.
type Guard struct {
	mu    sync.Mutex
	hold  time.Duration
	limit int
	now   time.Time // latest time passed in
	marks map[uint64]Mark
	ended map[uint64]Mark // cleared and lifted marks
}

// New returns a guard that condemns for hold and keeps at most limit marks.
// It panics if hold or limit is not positive.
func New(hold time.Duration, limit int) *Guard {
	if hold <= 0 || limit <= 0 {
		panic("fulmarguard: hold and limit must be positive")
	}
	return &Guard{hold: hold, limit: limit, marks: make(map[uint64]Mark), ended: make(map[uint64]Mark)}
}

// Fingerprint returns the hash that identifies the work of a request. Only the
// first 64 KB of the body count.
func Fingerprint(service, method, path, key string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	// The lengths keep the fields apart. A Digest never returns an error.
	for _, s := range [...]string{service, method, path, key} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(body[:min(len(body), maxBody)])
	return d.Sum64()
}

// Check returns how the work may run at now.
func (g *Guard) Check(now time.Time, fingerprint uint64) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	m, ok := g.marks[fingerprint]
	switch {
	case !ok || !m.Until.After(now):
		return Allow
	case m.Condemned:
		return Refuse
	}
	return Isolate
}

// Lost records that a target was lost while the fingerprints ran there and
// returns their new marks. Repeated fingerprints count once.
func (g *Guard) RecordLoss(now time.Time, fingerprints []uint64) []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.purge()
	distinct := slices.Clone(fingerprints)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	alone := len(distinct) == 1
	out := make([]Mark, 0, len(distinct))
	for _, f := range distinct {
		m, marked := g.marks[f]
		if !m.Condemned || alone {
			m = Mark{Fingerprint: f, Condemned: marked && alone, Until: now.Add(g.hold)}
		}
		delete(g.ended, f)
		g.marks[f] = m
		out = append(out, m)
	}
	trim(g.marks, g.limit)
	return out
}

// Clear ends the suspicion of work that completed.
func (g *Guard) Clear(fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.marks[fingerprint]; ok && !m.Condemned {
		g.end(m)
	}
}

// Merge takes over marks from the table; a condemned mark is never weakened by a suspect one.
func (g *Guard) Merge(marks []Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range marks {
		if e, ok := g.ended[m.Fingerprint]; ok && !stronger(m, e) {
			continue
		}
		if own, ok := g.marks[m.Fingerprint]; !ok || stronger(m, own) {
			g.marks[m.Fingerprint] = m
		}
	}
	g.purge()
	trim(g.marks, g.limit)
}

// stronger reports whether a supersedes b.
func stronger(a, b Mark) bool {
	if a.Condemned != b.Condemned {
		return a.Condemned
	}
	return a.Until.After(b.Until)
}

// Lift ends a mark by order of an operator, suspect or condemned.
func (g *Guard) Lift(fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.marks[fingerprint]; ok {
		g.end(m)
	}
}

func (g *Guard) end(m Mark) {
	delete(g.marks, m.Fingerprint)
	g.ended[m.Fingerprint] = m
	trim(g.ended, g.limit)
}

// Marks returns the marks in force at now, in the order of their fingerprints.
func (g *Guard) Marks(now time.Time) []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.purge()
	out := make([]Mark, 0, len(g.marks))
	for _, m := range g.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Mark) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (g *Guard) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
}

// purge drops what has expired.
func (g *Guard) purge() {
	for _, marks := range [...]map[uint64]Mark{g.marks, g.ended} {
		for f, m := range marks {
			if !m.Until.After(g.now) {
				delete(marks, f)
			}
		}
	}
}

// trim drops marks beyond the limit, suspects before condemned ones and among
// each the one that expires first.
func trim(marks map[uint64]Mark, limit int) {
	for len(marks) > limit {
		var first Mark
		found := false
		for _, m := range marks {
			if !found || earlier(m, first) {
				first, found = m, true
			}
		}
		delete(marks, first.Fingerprint)
	}
}

// earlier reports whether a is dropped before b.
func earlier(a, b Mark) bool {
	if a.Condemned != b.Condemned {
		return b.Condemned
	}
	if !a.Until.Equal(b.Until) {
		return a.Until.Before(b.Until)
	}
	return a.Fingerprint < b.Fingerprint
}
