package fulmardispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// jobState is the stage that a job has reached.
type jobState uint8

const (
	stateWaiting jobState = iota
	stateStarted
	stateRefused
	stateEnded
)

// job is a request that is queued and run. Duplicates of an at-most-once request share the job of the first one; the
// handler of that one, called the first handler, holds the body of the request.
type job struct {
	key         string
	group       string
	id          uuid.UUID
	hash        uint64 // of the service and the key
	slot        int
	kind        string // method and first path element, by which costs are estimated
	method      string
	path        string
	header      http.Header
	body        *fulmarbody.Body
	reader      io.ReadCloser // of the body, for the request to the target
	fingerprint uint64        // identifies the request in the guard
	slotCurrent bool          // the latest table maps the key to the slot
	groupKnown  bool          // the group exists in the configuration
	limits      fulmarqueue.Limits
	ctx         context.Context //nolint:containedctx // ends with the request to the target, which may outlive the handler
	cancel      context.CancelCauseFunc
	ready       chan struct{}        // closed when the job is started or refused
	stream      chan *streamedAnswer // passes a response that is too long to record to the first handler
	handlerGone chan struct{}        // closed when the first handler has returned

	// The dispatcher's lock guards the fields below.
	state     jobState
	reason    fulmaroutcome.Reason // set in stateRefused
	ticket    fulmarqueue.Ticket
	item      fulmarqueue.Item[*job]
	deadline  time.Time
	isolated  bool               // runs alone, because it is suspected of crashing targets
	waiters   int                // number of handlers that wait for the answer of an at-most-once request
	entry     *fulmardedup.Entry // nil for idempotent services
	startedAt time.Time
}

// parseRequest creates a job from the headers of a routed request. If a header is
// invalid, detail names it.
func (d *Dispatcher) parseRequest(r *http.Request) (j *job, detail string) {
	h := r.Header
	slot, err := strconv.Atoi(h.Get(fulmaroutcome.HeaderSlot))
	if err != nil || slot < 0 {
		return nil, "header " + fulmaroutcome.HeaderSlot
	}
	timeoutMS, err := strconv.ParseInt(h.Get(fulmaroutcome.HeaderDeadline), 10, 64)
	if err != nil {
		return nil, "header " + fulmaroutcome.HeaderDeadline
	}
	j = &job{
		key:         h.Get(fulmaroutcome.HeaderKey),
		group:       h.Get(fulmaroutcome.HeaderGroup),
		slot:        slot,
		method:      r.Method,
		path:        r.URL.RequestURI(),
		kind:        r.Method + " " + firstPathElement(r.URL.Path),
		header:      r.Header,
		ready:       make(chan struct{}),
		stream:      make(chan *streamedAnswer),
		handlerGone: make(chan struct{}),
		deadline:    d.deps.Now().Add(time.Duration(timeoutMS) * time.Millisecond),
	}
	if j.key == "" {
		return nil, "header " + fulmaroutcome.HeaderKey
	}
	if text := h.Get(fulmaroutcome.HeaderRequestID); text != "" {
		if j.id, err = uuid.Parse(text); err != nil {
			return nil, "header " + fulmaroutcome.HeaderRequestID
		}
	}
	j.hash = fulmarslot.KeyHash(d.target.Service, j.key)
	if deadline, ok := r.Context().Deadline(); ok && deadline.Before(j.deadline) {
		j.deadline = deadline
	}
	return j, ""
}

// firstPathElement returns the first element of the path after the service.
func firstPathElement(path string) string {
	path = strings.TrimPrefix(path, "/")
	_, path, _ = strings.Cut(path, "/")
	first, _, _ := strings.Cut(path, "/")
	return first
}
