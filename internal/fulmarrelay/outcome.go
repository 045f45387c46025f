package fulmarrelay

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/fulmarbend/fulmarbend/internal/fulmarserve"
)

// Reason says why a request was not served; it is a counter's label and stands in the log.
type Reason string

// Reasons.
const (
	NoConfiguration Reason = "no-configuration" // the daemon does not know the fleet yet
	NoRoute         Reason = "no-route"
	NoKey           Reason = "no-key"
	NoOwner         Reason = "no-owner"  // the key has no owner, or moves
	NoTarget        Reason = "no-target" // no target of the service is known
	NoCapacity      Reason = "full"      // all targets that could serve it are at their limit
	Rejected        Reason = "rejected"  // targets turned it away
	Unsent          Reason = "unsent"    // no target could be reached
	Broken          Reason = "broken"    // sent, without a complete answer
	TimedOut        Reason = "late"      // no answer within the time of the request
	CallerLeft      Reason = "caller-left"
)

// label returns the reason as a part of a metric's name.
func label(r Reason) string { return strings.ReplaceAll(string(r), "-", "_") }

// refuse answers that the request has not run and never will, and when to come back.
func (x *exchange) refuse(reason Reason) *fulmarserve.Answer {
	x.reason = reason
	a := failure(http.StatusServiceUnavailable, string(reason))
	a.Header.Set(x.relay.deps.Names.RetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return a
}

// fail answers without a statement about whether the request ran.
func (x *exchange) fail(status int, reason Reason) *fulmarserve.Answer {
	x.reason = reason
	return failure(status, string(reason))
}

func failure(status int, text string) *fulmarserve.Answer {
	return &fulmarserve.Answer{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(text),
	}
}
