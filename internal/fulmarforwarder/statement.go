package fulmarforwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

// statement is what the answer of a target says about the execution of a request; the zero value is no answer.
type statement struct {
	target     string
	status     int
	marked     bool // it has the header that states that the request was not executed
	signed     bool // it has the target's signature
	identified bool // it bears the id of the request
	place      fulmarlink.Place
	load       fulmarbalancer.Load // that the target reported, zero if none
}

// newStatement returns the statement of an answer.
func (x *exchange) newStatement(target string, a *fulmarlink.Answer) statement {
	names := x.forwarder.deps.HeaderNames
	return statement{
		target: target, status: a.Status, marked: a.Header.Get(names.NotRun) != "", signed: a.Header.Get(names.Signature) != "",
		identified: a.Identified, place: a.Place,
	}
}

// promisesNotRun reports whether callers take the status as the promise that the request was not and will not be executed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// result returns what the answer means for the request. Only the target's own statement about this very request makes it one that
// was not executed: a status alone may come from a target that failed after it had executed the request, and an answer without
// the id of the request may belong to none.
func (s statement) result() result {
	rejects := s.marked && s.status >= http.StatusBadRequest || s.status == http.StatusMisdirectedRequest
	switch {
	case rejects && s.identified:
		return notRun
	case s.marked, promisesNotRun(s.status), s.status < http.StatusMultipleChoices && !s.signed:
		return broken
	}
	return delivered
}

// shortfall states why the answer is not returned to the caller.
func (s statement) shortfall() string {
	text := "status " + strconv.Itoa(s.status)
	switch {
	case s.result() == notRun:
		return text
	case !s.identified:
		return text + " without the id of the request"
	case s.marked:
		return text + " with the statement that the request was not executed"
	case promisesNotRun(s.status):
		return text + " without the statement that the request was not executed"
	}
	return text + " without a signature"
}

// String returns the statement in the form of the log.
func (s statement) String() string {
	if s.status == 0 {
		return s.target + " none"
	}
	text := s.target + " " + strconv.Itoa(s.status)
	for _, mark := range []struct {
		set  bool
		word string
	}{{s.marked, "marked"}, {s.signed, "signed"}, {!s.identified, "anonymous"}} {
		if mark.set {
			text += " " + mark.word
		}
	}
	text += " at " + strconv.FormatInt(s.place.Connection, 10) + "." + strconv.Itoa(s.place.Exchange)
	if s.load.Slots > 0 && s.result() == notRun {
		text += fmt.Sprintf(" load %d,%d,%d", s.load.Running, s.load.Waiting, s.load.Slots)
	}
	if s.place.Late > 0 {
		text += " late " + strconv.Itoa(s.place.Late)
	}
	return text
}

// recordStatement keeps a statement for the log. It counts those that leave open whether the request was executed although
// their status promises that it was not, those that came after late answers to other requests, and those to
// repeated ids that could not be sent on a connection that was idle.
func (x *exchange) recordStatement(s statement) {
	x.statements = append(x.statements, s)
	metrics := x.forwarder.deps.Metrics
	if promisesNotRun(s.status) && !s.marked {
		metrics.Count("relay.answer_unmarked_" + strconv.Itoa(s.status))
	}
	if s.status != 0 && !s.identified {
		metrics.Count("relay.answer_without_id")
	}
	if s.place.Late > 0 {
		metrics.Count("relay.answer_after_late")
	}
	if s.place.Avoided > 0 {
		metrics.Count("relay.id_repeated")
	}
}

// statementsText returns the statements of all answers in the order of the sends, empty if the only one was a success.
func (x *exchange) statementsText() string {
	if len(x.statements) == 1 && x.statements[0].status/100 == 2 && x.reason == "" {
		return ""
	}
	words := make([]string, 0, len(x.statements))
	for _, s := range x.statements {
		words = append(words, s.String())
	}
	return strings.Join(words, ", ")
}
