package fulmardispatch

import (
	"context"
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

// state is where a job is.
type state uint8

const (
	waiting state = iota
	started
	refused
	ended
)

// job is one request on its way through the queue; fields below mu are guarded by the dispatcher's lock.
type job struct {
	key         string
	group       string
	id          uuid.UUID
	hash        uint64
	slot        int
	kind        string
	method      string
	path        string
	header      http.Header
	body        *fulmarbody.Body
	fingerprint uint64
	routed      bool // the newest table gives the key the slot
	known       bool // the group is configured
	limits      fulmarqueue.Limits
	ctx         context.Context //nolint:containedctx // the life of the order, which may outlast the handler
	cancel      context.CancelCauseFunc
	ready       chan struct{} // closed when the job is started or refused
	stream      chan *stream  // an answer too long to keep, for the first handler
	gone        chan struct{} // closed when the first handler has left

	// mu: the dispatcher's lock.
	state    state
	reason   fulmaroutcome.Reason // set in state refused
	ticket   fulmarqueue.Ticket
	item     fulmarqueue.Item[*job]
	deadline time.Time
	isolated bool
	waiters  int
	entry    *fulmardedup.Entry // nil for idempotent services
	begun    time.Time
}

// parse reads the headers of a routed request; detail says what is wrong with them.
func (d *Dispatcher) parse(r *http.Request) (j *job, detail string) {
	h := r.Header
	slot, err := strconv.Atoi(h.Get(fulmaroutcome.HeaderSlot))
	if err != nil || slot < 0 {
		return nil, "header " + fulmaroutcome.HeaderSlot
	}
	left, err := strconv.ParseInt(h.Get(fulmaroutcome.HeaderDeadline), 10, 64)
	if err != nil {
		return nil, "header " + fulmaroutcome.HeaderDeadline
	}
	j = &job{
		key:      h.Get(fulmaroutcome.HeaderKey),
		group:    h.Get(fulmaroutcome.HeaderGroup),
		slot:     slot,
		method:   r.Method,
		path:     r.URL.RequestURI(),
		kind:     r.Method + " " + element(r.URL.Path),
		header:   r.Header,
		ready:    make(chan struct{}),
		stream:   make(chan *stream),
		gone:     make(chan struct{}),
		deadline: d.deps.Now().Add(time.Duration(left) * time.Millisecond),
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
	if at, ok := r.Context().Deadline(); ok && at.Before(j.deadline) {
		j.deadline = at
	}
	return j, ""
}

// element returns the first path element after the service.
func element(path string) string {
	path = strings.TrimPrefix(path, "/")
	_, path, _ = strings.Cut(path, "/")
	first, _, _ := strings.Cut(path, "/")
	return first
}
