package fulmaroutage

import (
	"sync"
	"time"
)

const (
	// minOutage is the time between the begin of the first and the end of the last unanswered call from which they count as an
	// outage.
	minOutage = time.Second
	// maxPause is the longest pause between two calls of an outage, which callers repeat. After a longer one nothing is known
	// of the time between the calls.
	maxPause = 4 * time.Second
)

// Detector derives outages from the outcomes of calls; it is safe for concurrent use. The zero value has seen no call.
type Detector struct {
	mu           sync.Mutex
	answeredAt   time.Time // when the latest answer came
	failingSince time.Time // begin of the first unanswered call since then; zero if there is none
	failedAt     time.Time // when the latest call was given up
	endedAt      time.Time // of the latest outage that has ended
}

// Failed records a call that began at the first of the times and was given up without an answer at the second.
func (d *Detector) Failed(began, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if began.Before(d.answeredAt) {
		began = d.answeredAt // another call was answered meanwhile
	}
	if d.failingSince.IsZero() || began.Sub(d.failedAt) > maxPause {
		d.failingSince = began
	}
	if now.After(d.failedAt) {
		d.failedAt = now
	}
}

// Answered records that a call was answered at now, if only with a refusal.
func (d *Detector) Answered(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.answeredAt) {
		return
	}
	d.answeredAt = now
	if d.failingSince.IsZero() {
		return
	}
	if now.Sub(d.failedAt) <= maxPause && d.failedAt.Sub(d.failingSince) >= minOutage {
		d.endedAt = now
	}
	d.failingSince = time.Time{}
}

// EndedAt returns when the latest outage ended, the zero time if there was none.
func (d *Detector) EndedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endedAt
}
