package fulmarforwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

const (
	// A request waits at the owner of its key for a permit, the most urgent ones for this part of their latency objective.
	// The others wait so shortly that they do not take the permits for which those wait. A request without a key asks for
	// permits of one target after another for the latter part of its objective.
	urgentWaitDivisor = 3
	waitDivisor       = 8
	maxWait           = 50 * time.Millisecond
	// maxColdRefusals is the number of cold targets that a request without a key asks for, each by a call of the leader. Then
	// it goes to warm ones, which have more room.
	maxColdRefusals = 2
	// maxRetrySpread bounds the random part of the time after which refused callers may return.
	maxRetrySpread = 2 * time.Second
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

// recordColdness records how much longer a target stays cold by its own answer.
func (x *exchange) recordColdness(t fulmarcatalog.Target, answer http.Header) {
	d := &x.forwarder.deps
	text := answer.Get(d.HeaderNames.Cold)
	if text == "" {
		return
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) || ms > float64(fulmarwarmup.MaxLeft.Milliseconds()) { // also true for NaN
		d.Metrics.Count("relay.cold_malformed")
		d.Log.Warn("target states a malformed remaining coldness", "target", t.ID, "value", text)
		return
	}
	if left := time.Duration(ms * float64(time.Millisecond)); d.Coldness.Record(t.Incarnation(), d.Clock(), left) {
		d.Metrics.Count("relay.cold_stated")
		d.Log.Info("target is cold", "target", t.ID, "id", x.id, "left", left, "source", "answer")
	}
}

// admit reports whether the request may be sent to a target, at which choose has counted it, now: its limit admits it, and it
// wants no pause. If not, the request is no longer counted there, and the reason is returned.
func (x *exchange) admit(ctx context.Context, t fulmarcatalog.Target, maxWait time.Duration) Reason {
	d := &x.forwarder.deps
	after, ok := d.Gate.Admit(ctx, fulmarpermit.Request{Target: t.ID, MaxWait: maxWait, Priority: x.route.Priority, Bounded: x.span.Bounded})
	reason := OverLimit
	_, limited := d.Limits.Rate(t.ID)
	switch cold := x.isCold(t, d.Clock()); {
	case cold && ok:
		d.Metrics.Count("relay.cold_admitted")
	case cold:
		d.Metrics.Count("relay.cold_withheld")
		x.coldRefusals++
	case x.span.Bounded && !limited:
		reason = NoCapacity
	}
	if ok {
		// The target may have asked for a pause while the request waited for a permit.
		if after, ok = d.Notices.Admit(t.Incarnation(), d.Clock()); ok {
			return ""
		}
		reason = Paused
	}
	d.Balancer.Release(t.ID)
	x.recordRefusal(t.ID, reason, after)
	return reason
}

// isCold reports whether the target is cold and takes only some requests a second.
func (x *exchange) isCold(t fulmarcatalog.Target, clock time.Time) bool {
	return x.forwarder.deps.Coldness.IsCold(t, x.service, clock)
}

// recordRefusal records that a target does not admit the request, and after which time it may admit others.
func (x *exchange) recordRefusal(target string, reason Reason, after time.Duration) {
	if x.notAdmitted == nil {
		x.notAdmitted = make(map[string]Reason, 1)
	}
	if len(x.notAdmitted) == 0 || after < x.retryAfter {
		x.retryAfter = after
	}
	x.notAdmitted[target] = reason
	x.target = target
}

// retryAfterAdmission returns the Retry-After value of a request that no target admitted. Callers that were refused for the
// same target return at different times, as it admits only one of them at a time.
func (x *exchange) retryAfterAdmission() time.Duration {
	after := max(x.retryAfter, retryAfter)
	return after + rand.N(min(after, maxRetrySpread))
}
