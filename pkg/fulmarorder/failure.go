package fulmarorder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// maxRetryFactor bounds the delay before an order to a failing target, as a multiple of the normal one. Each failed order costs the
// sender as much as an answered one, and a data centre without power fails those of hundreds of targets at once. Keys of such a
// target have been given away by the time at which the bound is reached.
const maxRetryFactor = 8

// failureStreak counts consecutive failures of orders to one target.
type failureStreak struct {
	since       time.Time
	count       int
	unsent      bool                    // the last order could not be sent
	incarnation fulmarrange.Incarnation // to which the last order was sent
	retryDelay  time.Duration
	retryAt     time.Time // no order is sent before
}

// FailureStreak counts consecutive failures of orders to one target.
type FailureStreak struct {
	Elapsed    time.Duration // time since the first failure
	Count      int
	LastUnsent bool // the last order could not be sent: the target is unreachable
}

// FailureStreak returns the failures of orders to the target since the last one that it answered.
func (b *Scheduler) FailureStreak(now time.Time, target fulmarrange.Incarnation) FailureStreak {
	s, ok := b.failures[target.ID]
	if !ok {
		return FailureStreak{}
	}
	return FailureStreak{Elapsed: now.Sub(s.since), Count: s.count, LastUnsent: s.unsent}
}

// recordFailure records at now that an order to an incarnation has failed. The delay before the next one doubles with each attempt,
// unless the target has ended and so needs no more orders; orders that were under way together count as one attempt.
func (b *Scheduler) recordFailure(now time.Time, target fulmarrange.Incarnation, err error) {
	s := b.failures[target.ID]
	if s.count == 0 {
		s.since = now
	}
	if s.incarnation != target {
		s.incarnation, s.retryDelay, s.retryAt = target, 0, time.Time{}
	}
	if !now.Before(s.retryAt) && !errors.Is(err, ErrTargetEnded) {
		s.retryDelay = min(max(2*s.retryDelay, b.timing.RetryInterval), maxRetryFactor*b.timing.RetryInterval)
		s.retryAt = now.Add(s.retryDelay)
	}
	s.count++
	s.unsent = !errors.Is(err, ErrUnanswered)
	b.failures[target.ID] = s
}

// untilRetry returns the time before the next order to an incarnation whose last one has failed.
func (b *Scheduler) untilRetry(now time.Time, target fulmarrange.Incarnation) time.Duration {
	if s := b.failures[target.ID]; s.incarnation == target {
		return s.retryAt.Sub(now)
	}
	return 0
}

// mayRelease reports whether a release with the given status may be sent to an incarnation. If the last order to it has failed, the
// next release waits for the end of another one. Grants do not wait: a target may take seconds for a release, and needs renewals.
func (b *Scheduler) mayRelease(target fulmarrange.Incarnation, st *orderStatus) bool {
	if st.done || st.inFlight {
		return false
	}
	s, failing := b.failures[target.ID]
	return !failing || s.incarnation != target || b.releases[target] == 0
}
