package fulmarroute

import "sync"

// Splitter divides the requests of split routes among services; it is safe for concurrent use.
//
// It uses smooth weighted round robin, so that the shares of any few dozen
// requests already lie close to the weights.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*balance
}

// balance holds the credit of each part of one route.
type balance struct {
	parts  []Part
	credit []float64
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*balance)} }

// Next returns the service of the next request of r.
func (s *Splitter) Next(r Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.routes[r.Name]
	if b == nil || !equal(b.parts, r.Parts) {
		b = &balance{parts: r.Parts, credit: make([]float64, len(r.Parts))}
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

func equal(a, b []Part) bool {
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
