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
	maxKey     = 256         // bytes
	writeGrace = time.Second // for the answer that states that the deadline has passed
	maxMargin  = 100 * time.Millisecond
	marginPart = 10 // the margin is at most this part of the remaining time
)

// InvalidError says why a request can't be routed.
type InvalidError struct {
	Reason fulmaroutcome.Reason
	Detail string
}

// Error returns the message.
func (e *InvalidError) Error() string { return "fulmarentry: " + string(e.Reason) + ": " + e.Detail }

// query is a caller's request.
type query struct {
	service    string
	group      string
	key        string
	idempotent bool
	limits     fulmarconfig.Limits
	first      bool // the caller states that it never sent this id before
	began      time.Time
	deadline   time.Time
	body       *fulmarbody.Body

	asked   bool                 // a dispatcher looked up the id
	maybe   fulmaroutcome.Reason // why an earlier attempt may have run, "" if none may
	holder  string               // learned from the last not-holder answer
	retries int
}

// known returns name if it may label a counter; callers' free text would make counters without bound.
func (e *Entry) known(service, group string) (string, string) {
	cfg := e.deps.Router.Config()
	if _, ok := cfg.Service(service); !ok {
		return "", ""
	}
	if _, ok := cfg.Limits(service, group); !ok {
		return service, ""
	}
	return service, group
}

// parse validates the head of a request; the query is never nil.
func (e *Entry) parse(r *http.Request) (*query, *InvalidError) {
	h := r.Header
	q := &query{key: h.Get(fulmaroutcome.HeaderKey), began: e.deps.Now()}
	path, ok := strings.CutPrefix(r.URL.Path, "/")
	name, _, _ := strings.Cut(path, "/")
	q.service, q.group = e.known(name, h.Get(fulmaroutcome.HeaderGroup))
	cfg := e.deps.Router.Config()
	service, found := cfg.Service(name)
	switch {
	case !ok || r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return q, &InvalidError{fulmaroutcome.Malformed, "method or path"}
	case !found:
		return q, &InvalidError{fulmaroutcome.UnknownService, "the first element of the path names no service"}
	case q.key == "":
		return q, &InvalidError{fulmaroutcome.Malformed, "header " + fulmaroutcome.HeaderKey + " is missing"}
	case len(q.key) > maxKey:
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
	if err := q.parseTime(h); err != nil {
		return q, err
	}
	if q.limits.Body > 0 && r.ContentLength > q.limits.Body {
		return q, tooLarge(q.limits.Body)
	}
	return q, nil
}

// parseID checks the request id and the attempt.
func (q *query) parseID(h http.Header) *InvalidError {
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
		q.first = n == 1
	}
	return nil
}

// parseTime sets the deadline.
func (q *query) parseTime(h http.Header) *InvalidError {
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
	q.deadline = q.began.Add(timeout)
	return nil
}

// readBody takes the first part of the body within the deadline.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, q *query) *InvalidError {
	body := r.Body
	if q.limits.Body > 0 {
		body = http.MaxBytesReader(w, body, q.limits.Body)
	}
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(q.deadline.Sub(q.began)))
	}
	var err error
	q.body, err = fulmarbody.Read(body, r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(large.Limit)
	case err != nil:
		return &InvalidError{fulmaroutcome.Malformed, "the body broke off"}
	}
	if r.ContentLength != 0 && q.body.Complete() {
		_ = control.SetReadDeadline(time.Time{})
	}
	return nil
}

func tooLarge(limit int64) *InvalidError {
	return &InvalidError{fulmaroutcome.TooLarge, "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
}

// remaining returns the time that a dispatcher is given. It ends before the request's deadline, so
// that the dispatcher's own refusal at its deadline is not late.
func (q *query) remaining(now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	return left - min(maxMargin, left/marginPart)
}
