package fulmarentry

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbudget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// Router provides the state of the cluster that the entry routes by.
type Router interface {
	Table() fulmarslot.Table
	Config() fulmarconfig.Config
	// Accepting reports whether requests of callers are accepted. If not, it returns
	// the reason, stale or draining.
	Accepting() (fulmaroutcome.Reason, bool)
	// Dispatcher returns the local dispatcher of a target.
	Dispatcher(target string) (http.Handler, bool)
	// Holder returns the instance that most likely dispatches to a target.
	Holder(target string) (fulmarslot.Member, bool)
	// Learn records the holder named in a not-holder response.
	Learn(target, member string)
	// Down returns a channel that is closed when the member is detected as down, or
	// nil if the member is unknown.
	Down(member string) <-chan struct{}
}

// Metrics counts the outcomes of requests; *fulmarmetric.Metrics implements it.
type Metrics interface {
	Served(service, group string, took time.Duration)
	Refused(service, group string, o fulmaroutcome.Outcome, r fulmaroutcome.Reason)
	Retried(r fulmaroutcome.Reason)
}

// Deps holds the settings and dependencies of an entry. All fields but LocalIP are required.
type Deps struct {
	Router          Router
	Self            string // id of this instance
	SharedKey       []byte // of the peers, for authentication
	MaxConnsPerPeer int    // maximum number of connections to each peer
	LocalIP         net.IP // local address of the connections to peers, nil for any
	RetryBudget     *fulmarbudget.Budget
	Metrics         Metrics
	Now             func() time.Time
}

// Entry routes requests of callers and peers. It is safe for concurrent use.
type Entry struct {
	deps      Deps
	transport *fulmartransport.Transport
}

// New returns an entry. Close releases its connections.
func New(deps Deps) *Entry {
	return &Entry{deps: deps, transport: fulmartransport.New(deps.MaxConnsPerPeer, deps.LocalIP)}
}

// Close closes the idle connections to peers.
func (e *Entry) Close() { e.transport.Close() }

// CallerHandler returns the handler for requests of callers.
func (e *Entry) CallerHandler() http.Handler { return http.HandlerFunc(e.serveCaller) }

// PeerHandler returns the handler for requests of peers, which it authenticates.
func (e *Entry) PeerHandler() http.Handler { return http.HandlerFunc(e.servePeer) }

// serveCaller validates and routes a request of a caller.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	q, err := e.parseRequest(r)
	if err != nil {
		e.refuse(w, q, fulmaroutcome.NotRun, err.Reason, err.Detail)
		return
	}
	if reason, ok := e.deps.Router.Accepting(); !ok {
		e.refuseFinal(w, q, attemptResult{outcome: fulmaroutcome.NotRun, reason: reason})
		return
	}
	control := http.NewResponseController(w)
	// A caller that does not read its response must not occupy a slot of the target
	// beyond the deadline.
	_ = control.SetWriteDeadline(time.Now().Add(q.deadline.Sub(q.receivedAt) + responseWriteGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	body := &trackedBody{ReadCloser: r.Body}
	r = r.WithContext(r.Context())
	r.Body = body
	if err := e.readBody(w, r, q); err != nil {
		e.refuse(w, q, fulmaroutcome.NotRun, err.Reason, err.Detail)
		body.drain(w)
		return
	}
	returned := false // route panics if the response is truncated
	defer func() {
		if !returned {
			e.deps.Metrics.Refused(q.service, q.group, fulmaroutcome.Unknown, fulmaroutcome.BodyBroken)
		}
	}()
	e.route(w, r, q)
	returned = true
	body.drain(w)
}

// servePeer forwards a request of a peer to the local dispatcher of its target.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	if err := verify(r, e.deps.SharedKey, e.deps.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	if timeoutMS, err := strconv.ParseInt(r.Header.Get(fulmaroutcome.HeaderDeadline), 10, 64); err == nil {
		// A peer that does not read its response must not occupy a slot of the target
		// beyond the deadline.
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(time.Duration(timeoutMS)*time.Millisecond + responseWriteGrace))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	target := r.Header.Get(fulmaroutcome.HeaderTarget)
	if d, ok := e.deps.Router.Dispatcher(target); ok {
		body := &trackedBody{ReadCloser: r.Body}
		in := r.WithContext(r.Context())
		in.Body = body
		d.ServeHTTP(w, in)
		body.drain(w)
		return
	}
	if m, ok := e.deps.Router.Holder(target); ok && m.ID != e.deps.Self {
		w.Header().Set(fulmaroutcome.HeaderHolder, m.ID)
	}
	fulmarreply.Refuse(w, fulmaroutcome.NotRun, fulmaroutcome.NotHolder, "")
}

// refuse writes and counts an outcome other than served.
func (e *Entry) refuse(w http.ResponseWriter, q *callerRequest, o fulmaroutcome.Outcome, r fulmaroutcome.Reason, detail string) {
	e.deps.Metrics.Refused(q.service, q.group, o, r)
	fulmarreply.Refuse(w, o, r, detail)
}
