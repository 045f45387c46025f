package fulmarallowance

import (
	"sync"
	"time"
)

// bucketsPerWindow is the number of buckets that a sliding window is divided into.
const bucketsPerWindow = 20

// Rule is the retry limit of the whole fleet for one service.
type Rule struct {
	Ratio        float64 // retries allowed for each request
	FixedRetries float64 // retries allowed in addition, shared by all daemons
	Window       time.Duration
}

// bucket counts the requests and retries of one part of the window.
type bucket struct {
	index             int64 // number of bucket lengths since 1970
	requests, retries int
}

// RetryBudget counts requests and retries by service; it is safe for concurrent use.
type RetryBudget struct {
	mu           sync.Mutex
	rule         Rule
	bucketLength time.Duration
	services     map[string]*[bucketsPerWindow + 1]bucket
}

// New returns an empty budget; it panics unless the window is positive.
func New(r Rule) *RetryBudget {
	if r.Window <= 0 {
		panic("fulmarallowance: window must be positive")
	}
	return &RetryBudget{
		rule: r, bucketLength: r.Window / bucketsPerWindow, services: make(map[string]*[bucketsPerWindow + 1]bucket),
	}
}

// bucketAt returns the bucket that contains now; it resets a bucket of an earlier window.
func (a *RetryBudget) bucketAt(now time.Time, service string) *bucket {
	ring := a.services[service]
	if ring == nil {
		ring = new([bucketsPerWindow + 1]bucket)
		a.services[service] = ring
	}
	index := now.UnixNano() / int64(a.bucketLength)
	c := &ring[index%int64(len(ring))]
	if c.index != index {
		*c = bucket{index: index}
	}
	return c
}

// SetRule replaces the limit. The counts are kept if the window has the same length.
func (a *RetryBudget) SetRule(r Rule) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Window <= 0 {
		panic("fulmarallowance: window must be positive")
	}
	if r.Window != a.rule.Window {
		a.services = make(map[string]*[bucketsPerWindow + 1]bucket)
	}
	a.rule, a.bucketLength = r, r.Window/bucketsPerWindow
}

// RecordRequest counts a caller's request for the service.
func (a *RetryBudget) RecordRequest(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucketAt(now, service).requests++
}

// AllowRetry reports whether the limit allows a retry, and counts it if so. daemons is the number of daemons that share
// the fixed number of retries.
//
// A retry counts in all windows that contain it, of which the latest end a window after it. The limit of a window refers to the
// requests of that window, of the one before it or of the one that ended half a window earlier, whichever has most. Each window is
// compared with its own requests if it ends within half a window from now, and otherwise with those of the one that ended half a
// window earlier; requests that are still to come count as none. All daemons compare the same windows, so that the limit holds for
// the sums of the fleet too.
func (a *RetryBudget) AllowRetry(now time.Time, service string, daemons int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.bucketAt(now, service)
	var requests, retries [bucketsPerWindow + 1]int // of the buckets of at most that age
	for _, c := range a.services[service] {
		if age := current.index - c.index; age >= 0 && age <= bucketsPerWindow {
			requests[age] += c.requests
			retries[age] += c.retries
		}
	}
	for age := 1; age <= bucketsPerWindow; age++ {
		requests[age] += requests[age-1]
		retries[age] += retries[age-1]
	}
	fixed := a.rule.FixedRetries / float64(max(daemons, 1))
	for ahead := range bucketsPerWindow { // until the end of the window
		counted := bucketsPerWindow - ahead
		if ahead > bucketsPerWindow/2 {
			counted = min(counted+bucketsPerWindow/2, bucketsPerWindow)
		}
		// The oldest of the buckets lies in the window in part only: its retries count, and its requests do not.
		if float64(retries[bucketsPerWindow-ahead]+1) > a.rule.Ratio*float64(requests[counted-1])+fixed {
			return false
		}
	}
	current.retries++
	return true
}
