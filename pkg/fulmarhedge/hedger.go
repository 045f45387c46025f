package fulmarhedge

import (
	"maps"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarquantile"
)

const (
	// memory is the number of answers of a route that an estimate rests on.
	memory = 500
	// minAnswers is the number of answers of a route before which nothing is known of its slowest ones.
	minAnswers = 50
	// maxSaved is the number of hedges that can be saved up. Many requests are late together when a target stops answering.
	maxSaved = 4
	// shortageTime is the time after a sign that targets have no room in which nothing is hedged. Callers that were refused
	// return within about that time.
	shortageTime = time.Second
)

// Verdict states whether a hedge is permitted, or why it is not.
type Verdict string

// Verdicts.
const (
	Permitted Verdict = ""
	OverShare Verdict = "share"    // the limit of hedged requests is reached
	NoRoom    Verdict = "no_room"  // targets of the service have had no room for requests
	TooLate   Verdict = "too_late" // the time that is left is shorter than most answers take
)

// Hedger decides which requests of a daemon are hedged, and when; it is safe for concurrent use.
type Hedger struct {
	policy Policy

	mu        sync.Mutex
	saved     float64 // hedges that are permitted now
	answers   map[string]*fulmarquantile.Estimator
	shortages map[string]time.Time // by service: when a target last had no room
}

// New returns a hedger that has learnt nothing yet. The policy has been checked.
func New(p Policy) *Hedger {
	return &Hedger{policy: p, answers: make(map[string]*fulmarquantile.Estimator), shortages: make(map[string]time.Time)}
}

// Enabled reports whether any requests are hedged.
func (h *Hedger) Enabled() bool { return h.policy.Enabled() }

// RecordRequest counts a request that could be hedged.
func (h *Hedger) RecordRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saved = min(h.saved+h.policy.share, maxSaved)
}

// RecordAnswer records how long a request of a route has waited for its answer since its first send. For a hedged request that is
// a lower bound for the first target, which lies above the delay in any case.
func (h *Hedger) RecordAnswer(route string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.answers[route]
	if e == nil {
		e = fulmarquantile.New(memory)
		h.answers[route] = e
	}
	e.Add(took)
}

// RecordShortage records that a target of a service had no room for a request.
func (h *Hedger) RecordShortage(now time.Time, service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shortages[service] = now
}

// Delay returns the time after which a request of the route is late; ok is false while too few answers are known.
func (h *Hedger) Delay(route string) (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.answers[route]
	if e == nil || e.Count() < minAnswers {
		return 0, false
	}
	return e.Quantile(h.policy.quantile), true
}

// Take permits a hedge of a late request of a route, which is answered by the service and has the time left, and counts it.
func (h *Hedger) Take(now time.Time, route, service string, left time.Duration) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.answers[route]; e == nil || left < e.Quantile(0.5) {
		return TooLate
	}
	if at, ok := h.shortages[service]; ok && now.Sub(at) < shortageTime {
		return NoRoom
	}
	if h.saved < 1 {
		return OverShare
	}
	h.saved--
	return Permitted
}

// Return gives back a hedge that was permitted and not sent.
func (h *Hedger) Return() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saved = min(h.saved+1, maxSaved)
}

// Retain drops what is known of routes and services that are not among the names.
func (h *Hedger) Retain(names map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.answers, func(name string, _ *fulmarquantile.Estimator) bool { return !names[name] })
	maps.DeleteFunc(h.shortages, func(name string, _ time.Time) bool { return !names[name] })
}
