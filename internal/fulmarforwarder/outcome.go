package fulmarforwarder

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
)

// Reason states why a request was not served; it is logged and part of a metric's name.
type Reason string

// Reasons why a request was not served.
const (
	NoConfiguration Reason = "no-configuration" // the daemon has not received the configuration yet
	NoRoute         Reason = "no-route"
	NoKey           Reason = "no-key"
	NoID            Reason = "no-id"     // the request has no id, without which no target executes it
	NoOwner         Reason = "no-owner"  // the key has no owner or is being moved
	NoTarget        Reason = "no-target" // the service has no usable target
	NoCapacity      Reason = "full"      // all usable targets are at the limit of requests in flight
	Paused          Reason = "pause"     // the target, or all usable ones, want no requests for a time
	Leaving         Reason = "leaving"   // the owner of the key leaves, and nobody leads who could move the key
	Evacuated       Reason = "evacuated" // the owner of the key, or all usable targets, are in data centres that operators evacuate
	OverLimit       Reason = "limit"     // the target's limit, or those of all usable targets, did not admit the request
	Rejected        Reason = "rejected"  // targets stated that they did not execute the request
	Unsent          Reason = "unsent"    // no connection to a target could be used
	Broken          Reason = "broken"    // sent, but no complete answer received
	TimedOut        Reason = "late"      // no answer before the deadline of the request
	Cut             Reason = "cut"       // the target's answer ended early, after a part of it was forwarded
	Crashes         Reason = "crash"     // the targets that ran the same request have ended
	CallerLeft      Reason = "caller-left"
	Interrupted     Reason = "shutdown" // not answered, or not certain to be, before the grace period of the daemon's shutdown ends
)

// metricLabel returns the reason in the form used in a metric's name.
func metricLabel(r Reason) string { return strings.ReplaceAll(string(r), "-", "_") }

// noTargetReason returns why no target may get a request without a key.
func (x *exchange) noTargetReason() Reason {
	paused, evacuated := 0, 0
	targets := x.view.Catalog.Service(x.service.Name)
	for _, t := range targets {
		if t.Evacuated {
			evacuated++
			continue
		}
		switch x.notAdmitted[t.ID] {
		case OverLimit:
			return OverLimit
		case Paused:
			paused++
		}
	}
	switch {
	case paused > 0 && paused+evacuated == len(targets):
		return Paused
	case evacuated > 0 && evacuated == len(targets):
		return Evacuated
	}
	return NoTarget
}

// refuse returns the answer to a request that was not and will not be executed, with the time to wait before a retry.
func (x *exchange) refuse(reason Reason) *fulmarhttpserver.Answer {
	x.reason = reason
	a := errorAnswer(http.StatusServiceUnavailable, string(reason))
	after := retryAfter
	switch reason {
	case OverLimit, Paused, NoCapacity:
		after = x.retryAfterAdmission()
		x.forwarder.deps.Hedger.RecordShortage(x.forwarder.deps.Now(), x.service.Name)
	case Evacuated:
		after = retryAfterEvacuation()
	case Crashes:
		after = x.retryAfter
	}
	a.Header.Set(x.forwarder.deps.HeaderNames.RetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return a
}

// fail returns an error answer that does not state whether the request was executed.
func (x *exchange) fail(status int, reason Reason) *fulmarhttpserver.Answer {
	x.reason = reason
	return errorAnswer(status, string(reason))
}

// cancelReason returns why ctx was cancelled.
func cancelReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), fulmarhttpserver.ErrInterrupted) {
		return Interrupted
	}
	return CallerLeft
}

// errorAnswer returns an answer with a plain text body.
func errorAnswer(status int, text string) *fulmarhttpserver.Answer {
	return &fulmarhttpserver.Answer{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(text),
	}
}
