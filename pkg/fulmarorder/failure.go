package fulmarorder

import (
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// maxRetryFactor bounds the delay before an order to a failing target, as a multiple of the normal one. Each failed order costs the
// sender as much as an answered one, and a data centre without power fails those of hundreds of targets at once. Keys of such a
// target have been given away by the time at which the bound is reached.
const maxRetryFactor = 8

// backoff delays the orders to a target that has not answered the last one.
type backoff struct {
	retryDelay time.Duration
	retryAt    time.Time // no order is sent before
}

// recordFailure records at now that an order to an incarnation has failed. The delay before the next one doubles with each attempt,
// unless the target has ended and so needs no more orders; orders that were under way together count as one attempt.
func (b *Scheduler) recordFailure(now time.Time, target fulmarrange.Incarnation, err error) {
	s := b.failures[target]
	if !now.Before(s.retryAt) && !errors.Is(err, ErrTargetEnded) {
		s.retryDelay = min(max(2*s.retryDelay, b.timing.RetryInterval), maxRetryFactor*b.timing.RetryInterval)
		s.retryAt = now.Add(s.retryDelay)
	}
	b.failures[target] = s
}

// untilRetry returns the time before the next order to an incarnation whose last one has failed.
func (b *Scheduler) untilRetry(now time.Time, target fulmarrange.Incarnation) time.Duration {
	if s, ok := b.failures[target]; ok {
		return s.retryAt.Sub(now)
	}
	return 0
}

// forgetFailures drops the delays that have passed long ago, as those of targets that have ended are never needed again.
func (b *Scheduler) forgetFailures(now time.Time) {
	maps.DeleteFunc(b.failures, func(_ fulmarrange.Incarnation, s backoff) bool {
		return now.Sub(s.retryAt) > maxRetryFactor*b.timing.MaxGrantTTL
	})
}

// mayRelease reports whether a release with the given status may be sent to an incarnation. If the last order to it has failed, the
// next release waits for the end of another one. Grants do not wait: a target may take seconds for a release, and needs renewals.
func (b *Scheduler) mayRelease(target fulmarrange.Incarnation, st *orderStatus) bool {
	if st.done || st.inFlight {
		return false
	}
	_, failing := b.failures[target]
	return !failing || b.releases[target] == 0
}
