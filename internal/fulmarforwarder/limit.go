package fulmarforwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
)

const (
	// A request waits at the owner of its key for a permit, the most urgent ones for this part of their latency objective.
	// The others wait so shortly that they do not take the permits for which those wait. A request without a key asks for
	// permits of one target after another for the latter part of its objective.
	urgentWaitDivisor = 3
	waitDivisor       = 8
	maxWait           = 50 * time.Millisecond
)

// maxPermitWait returns how long the request waits for a permit at the owner of its key.
func (x *exchange) maxPermitWait() time.Duration {
	wait := min(x.route.LatencyObjective/waitDivisor, maxWait)
	if x.route.Priority == 0 {
		wait = x.route.LatencyObjective / urgentWaitDivisor
	}
	return min(wait, time.Until(x.deadline)/2)
}

// recordLimit records what an answer of a target states about the target's limit. A target states the end of a limit
// only in answers that it has signed: those of a target that rejects requests need not state the limit.
func (x *exchange) recordLimit(target string, answer http.Header, sentAt time.Time) {
	d := &x.forwarder.deps
	s := fulmarlimit.Statement{Target: target, SentAt: sentAt, ReceivedAt: d.Clock()}
	text := answer.Get(d.HeaderNames.Limit)
	if text == "" && answer.Get(d.HeaderNames.Signature) == "" {
		return
	}
	if text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		s.Limited, s.Rate = true, rate
		if err != nil || !s.IsValid() {
			d.Metrics.Count("relay.limit_malformed")
			d.Log.Warn("target states a malformed limit", "target", target, "value", text)
			return
		}
	}
	if d.Limits.Record(s) {
		d.Metrics.Count("relay.limit_changed")
		d.Log.Info("limit of target changed", "target", target, "limited", s.Limited, "rate", s.Rate, "source", "answer")
	}
}

// admit reports whether the limit of a target admits the request, at which choose has counted it. If not, the request
// is no longer counted there.
func (x *exchange) admit(ctx context.Context, target string, maxWait time.Duration) bool {
	d := &x.forwarder.deps
	after, ok := d.Gate.Admit(ctx, fulmarpermit.Request{Target: target, MaxWait: maxWait, Priority: x.route.Priority})
	if ok {
		return true
	}
	d.Balancer.Release(target)
	if x.overLimit == nil {
		x.overLimit = make(map[string]bool, 1)
	}
	if len(x.overLimit) == 0 || after < x.retryAfter {
		x.retryAfter = after
	}
	x.overLimit[target] = true
	x.target = target
	return false
}

// retryAfterLimit returns the Retry-After value of a request that no limit admitted. Callers that were refused for the
// same target return at different times, as it admits only one of them at a time.
func (x *exchange) retryAfterLimit() time.Duration {
	after := max(x.retryAfter, retryAfter)
	return after + rand.N(after)
}
