package fulmarentry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

const (
	maxKeyBytes           = 256
	responseWriteGrace    = time.Second // time past the deadline for writing the response that reports it
	maxDeadlineMargin     = 100 * time.Millisecond
	deadlineMarginDivisor = 10 // the margin is at most 1/deadlineMarginDivisor of the remaining time
)

// InvalidError reports why a request cannot be routed.
type InvalidError struct {
	Reason fulmaroutcome.Reason
	Detail string
}

// Error returns the message.
func (e *InvalidError) Error() string { return "fulmarentry: " + string(e.Reason) + ": " + e.Detail }

// callerRequest is a request of a caller and the state of its attempts.
type callerRequest struct {
	service      string
	group        string
	key          string
	idempotent   bool
	limits       fulmarconfig.Limits
	firstAttempt bool // the caller states that it has not sent this id before
	receivedAt   time.Time
	deadline     time.Time
	body         *fulmarbody.Body

	idLookedUp    bool                 // a dispatcher has looked up the id
	unknownReason fulmaroutcome.Reason // why an earlier attempt may have run, "" if none may have
	learnedHolder string               // named in the last not-holder response
	retries       int
}

// metricLabels returns the service and the group as metric labels, each empty unless
// it is configured. Arbitrary text from callers would make the number of metrics
// unbounded.
func (e *Entry) metricLabels(service, group string) (string, string) {
	cfg := e.deps.Router.Config()
	if _, ok := cfg.Service(service); !ok {
		return "", ""
	}
	if _, ok := cfg.Limits(service, group); !ok {
		return service, ""
	}
	return service, group
}

// parseRequest validates the headers of a request. The returned callerRequest is
// never nil.
func (e *Entry) parseRequest(r *http.Request) (*callerRequest, *InvalidError) {
	h := r.Header
	q := &callerRequest{key: h.Get(fulmaroutcome.HeaderKey), receivedAt: e.deps.Now()}
	path, ok := strings.CutPrefix(r.URL.Path, "/")
	name, _, _ := strings.Cut(path, "/")
	q.service, q.group = e.metricLabels(name, h.Get(fulmaroutcome.HeaderGroup))
	cfg := e.deps.Router.Config()
	service, found := cfg.Service(name)
	switch {
	case !ok || r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return q, &InvalidError{fulmaroutcome.Malformed, "method or path"}
	case !found:
		return q, &InvalidError{fulmaroutcome.UnknownService, "the first element of the path names no service"}
	case q.key == "":
		return q, &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderKey + " is missing"}
	case len(q.key) > maxKeyBytes:
		return q, &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderKey + " is longer than 256 bytes"}
	case h.Get(fulmaroutcome.HeaderGroup) == "":
		return q, &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderGroup + " is missing"}
	}
	q.idempotent = service.Idempotent
	if q.limits, ok = cfg.Limits(name, h.Get(fulmaroutcome.HeaderGroup)); !ok {
		return q, &InvalidError{fulmaroutcome.UnknownGroup, "header " + fulmaroutcome.HeaderGroup + " names no group"}
	}
	if err := q.parseID(h); err != nil {
		return q, err
	}
	if err := q.parseTimeout(h); err != nil {
		return q, err
	}
	if q.limits.MaxBody > 0 && r.ContentLength > q.limits.MaxBody {
		return q, tooLargeError(q.limits.MaxBody)
	}
	return q, nil
}

// parseID validates the request id and reads the attempt number.
func (q *callerRequest) parseID(h http.Header) *InvalidError {
	text := h.Get(fulmaroutcome.HeaderRequestID)
	if text == "" && !q.idempotent {
		return &InvalidError{fulmaroutcome.IDMissing, "header " + fulmaroutcome.HeaderRequestID + " is required"}
	}
	if text != "" {
		id, err := uuid.Parse(text)
		if err != nil || len(text) != len(uuid.UUID{}.String()) {
			return &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderRequestID + " is no UUID"}
		}
		if !q.idempotent && id.Version() != 7 {
			return &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderRequestID + " is no UUID of version 7"}
		}
	}
	if text := h.Get(fulmaroutcome.HeaderAttempt); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderAttempt + " is no positive number"}
		}
		q.firstAttempt = n == 1
	}
	return nil
}

// parseTimeout sets the deadline.
func (q *callerRequest) parseTimeout(h http.Header) *InvalidError {
	timeout := q.limits.Timeout
	if text := h.Get(fulmaroutcome.HeaderTimeout); text != "" {
		var err error
		if timeout, err = time.ParseDuration(text); err != nil || timeout <= 0 {
			return &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderTimeout + " is no positive duration"}
		}
	}
	if q.limits.MaxTimeout > 0 {
		timeout = min(timeout, q.limits.MaxTimeout)
	}
	q.deadline = q.receivedAt.Add(timeout)
	return nil
}

// readBody reads the first part of the body within the deadline.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, q *callerRequest) *InvalidError {
	body := r.Body
	if q.limits.MaxBody > 0 {
		body = http.MaxBytesReader(w, body, q.limits.MaxBody)
	}
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(q.deadline.Sub(q.receivedAt)))
	}
	var err error
	q.body, err = fulmarbody.Read(body, r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLargeError(large.Limit)
	case err != nil:
		return &InvalidError{fulmaroutcome.Malformed, "the body broke off"}
	}
	if r.ContentLength != 0 && q.body.Complete() {
		_ = control.SetReadDeadline(time.Time{})
	}
	return nil
}

// tooLargeError returns the error for a body that exceeds limit bytes.
func tooLargeError(limit int64) *InvalidError {
	return &InvalidError{fulmaroutcome.TooLarge, "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
}

// dispatcherTimeout returns the timeout for a dispatcher. It ends before the deadline
// of the request, so that a refusal by the dispatcher at its own deadline arrives in
// time.
func (q *callerRequest) dispatcherTimeout(now time.Time) time.Duration {
	remaining := q.deadline.Sub(now)
	return remaining - min(maxDeadlineMargin, remaining/deadlineMarginDivisor)
}
