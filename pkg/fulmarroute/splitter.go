package fulmarroute

import "sync"

// Splitter divides the requests of split routes among services; it is safe for concurrent use.
//
// It uses smooth weighted round robin, so that the shares are close to the
// weights after a few dozen requests.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*splitState
}

// splitState holds the round-robin credit of each part of one route.
type splitState struct {
	parts  []Part
	credit []float64
}

// NewSplitter returns a splitter without any requests counted.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*splitState)} }

// Next selects the service of the next request of route r.
func (s *Splitter) Next(r Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.routes[r.Name]
	if b == nil || !equalParts(b.parts, r.Parts) {
		b = &splitState{parts: r.Parts, credit: make([]float64, len(r.Parts))}
		s.routes[r.Name] = b
	}
	best, total := -1, 0.0
	for i, p := range r.Parts {
		b.credit[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || b.credit[i] > b.credit[best]) {
			best = i
		}
	}
	b.credit[best] -= total
	return r.Parts[best].Service
}

func equalParts(a, b []Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
