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

// Router is what the entry knows of the system.
type Router interface {
	Table() fulmarslot.Table
	Config() fulmarconfig.Config
	// Accepting returns false with the reason, stale or draining, if callers are refused.
	Accepting() (fulmaroutcome.Reason, bool)
	// Dispatcher returns the local dispatcher of a target.
	Dispatcher(target string) (http.Handler, bool)
	// Holder returns the best guess of the daemon that dispatches to a target.
	Holder(target string) (fulmarslot.Member, bool)
	// Learn takes over the holder named by a not-holder answer.
	Learn(target, member string)
	// Down returns a channel that is closed when the member is found down, nil if it is not known.
	Down(member string) <-chan struct{}
}

// Metrics counts the outcomes of requests; *fulmarmetric.Metrics implements it.
type Metrics interface {
	Served(service, group string, took time.Duration)
	Refused(service, group string, o fulmaroutcome.Outcome, r fulmaroutcome.Reason)
	Retried(r fulmaroutcome.Reason)
}

// Deps are what an entry works with; all fields but Source are required.
type Deps struct {
	Router          Router
	Self            string // id of the own instance
	SharedKey       []byte // shared by the peers
	MaxConnsPerPeer int    // most connections to each peer
	LocalIP         net.IP // local address of the connections, nil for any
	RetryBudget     *fulmarbudget.Budget
	Metrics         Metrics
	Now             func() time.Time
}

// Entry routes callers' and peers' requests; it is safe for concurrent use.
type Entry struct {
	deps      Deps
	transport *fulmartransport.Transport
}

// New returns an entry.
func New(deps Deps) *Entry {
	return &Entry{deps: deps, transport: fulmartransport.New(deps.MaxConnsPerPeer, deps.LocalIP)}
}

// Close closes the idle connections to peers.
func (e *Entry) Close() { e.transport.Close() }

// Callers returns the handler for callers.
func (e *Entry) CallerHandler() http.Handler { return http.HandlerFunc(e.serveCaller) }

// Peers returns the handler for the peers' data listener, which checks their proof.
func (e *Entry) PeerHandler() http.Handler { return http.HandlerFunc(e.servePeer) }

// serveCaller validates a request and routes it.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	q, err := e.parse(r)
	if err != nil {
		e.refuse(w, q, fulmaroutcome.NotRun, err.Reason, err.Detail)
		return
	}
	if reason, ok := e.deps.Router.Accepting(); !ok {
		e.finish(w, q, result{outcome: fulmaroutcome.NotRun, reason: reason})
		return
	}
	control := http.NewResponseController(w)
	// A caller that does not read must not hold a slot of the target beyond its deadline.
	_ = control.SetWriteDeadline(time.Now().Add(q.deadline.Sub(q.began) + writeGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	body := &inbound{ReadCloser: r.Body}
	r = r.WithContext(r.Context())
	r.Body = body
	if err := e.readBody(w, r, q); err != nil {
		e.refuse(w, q, fulmaroutcome.NotRun, err.Reason, err.Detail)
		body.linger(w)
		return
	}
	complete := false
	defer func() {
		if !complete {
			e.deps.Metrics.Refused(q.service, q.group, fulmaroutcome.Unknown, fulmaroutcome.BodyBroken)
		}
	}()
	e.route(w, r, q)
	complete = true
	body.linger(w)
}

// servePeer passes a peer's request to the local dispatcher of its target.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	if err := verify(r, e.deps.SharedKey, e.deps.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	if left, err := strconv.ParseInt(r.Header.Get(fulmaroutcome.HeaderDeadline), 10, 64); err == nil {
		// A peer that does not read must not hold a slot of the target beyond the deadline.
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(time.Duration(left)*time.Millisecond + writeGrace))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	target := r.Header.Get(fulmaroutcome.HeaderTarget)
	if d, ok := e.deps.Router.Dispatcher(target); ok {
		body := &inbound{ReadCloser: r.Body}
		in := r.WithContext(r.Context())
		in.Body = body
		d.ServeHTTP(w, in)
		body.linger(w)
		return
	}
	if m, ok := e.deps.Router.Holder(target); ok && m.ID != e.deps.Self {
		w.Header().Set(fulmaroutcome.HeaderHolder, m.ID)
	}
	fulmarreply.Refuse(w, fulmaroutcome.NotRun, fulmaroutcome.NotHolder, "")
}

// refuse answers and counts an outcome other than served.
func (e *Entry) refuse(w http.ResponseWriter, q *query, o fulmaroutcome.Outcome, r fulmaroutcome.Reason, detail string) {
	e.deps.Metrics.Refused(q.service, q.group, o, r)
	fulmarreply.Refuse(w, o, r, detail)
}
