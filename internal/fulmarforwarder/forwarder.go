package fulmarforwarder

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarcoldness"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnewcomer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

const (
	// viewTimeout covers the first read of the store when all daemons start at the same time.
	viewTimeout = 400 * time.Millisecond
	// startupTime is the time after the start of the daemon in which its configuration may be about to arrive. Later,
	// requests that find none are refused at once.
	startupTime = 2 * time.Second
)

// Metrics records the outcomes of requests and the retries.
type Metrics interface {
	Served(service, group string, took time.Duration)
	Count(name string)
}

// Loads counts the requests for each key.
type Loads interface {
	// Note counts a request for a key of a service.
	Note(service string, key int)
}

// Gate admits requests to targets that have stated a limit.
type Gate interface {
	// Admit waits until a request may be sent, and reports whether it may. Otherwise, retryAfter is the time in which no
	// such request may be sent, zero if that is not known.
	Admit(ctx context.Context, r fulmarpermit.Request) (retryAfter time.Duration, ok bool)
}

// Deps holds the dependencies of a Forwarder.
type Deps struct {
	HeaderNames HeaderNames
	ID          string // id of the daemon
	DC          string
	Views       *fulmarview.Holder
	Pool        *fulmarlink.Pool
	Balancer    *fulmarbalancer.Balancer
	Limits      *fulmarlimit.Board       // limits that targets have stated
	Coldness    *fulmarcoldness.Coldness // of targets; may be nil
	Notices     *fulmarnotice.Board      // what targets say of themselves
	Crashes     *fulmarcrash.Board       // requests under which targets have ended
	Gate        Gate
	Chooser     Chooser // may be nil, for none
	Splitter    *fulmarroute.Splitter
	RetryBudget *fulmarallowance.RetryBudget
	Hedger      *fulmarhedge.Hedger
	Loads       Loads
	Metrics     Metrics
	Log         *slog.Logger
	Now         func() time.Time
	Clock       func() time.Time     // clock that the times in views refer to
	DrainTime   func() time.Duration // time for which a leaving target still accepts requests for its keys
	// EvacuationTime returns the time for which a target of an evacuated data centre may still get requests, if there is no other.
	EvacuationTime func() time.Duration
	// LatestEnd returns the time by which requests that arrive now must have ended, zero for no limit. During a shutdown,
	// those that may last longer are refused, as their callers can still reach another daemon. It may be nil.
	LatestEnd func() time.Time
}

// Forwarder forwards callers' requests to targets; it is safe for concurrent use.
type Forwarder struct {
	deps        Deps
	startedAt   time.Time
	preferences preferences
	newcomers   *fulmarnewcomer.Trials
	unanswered  unansweredSends
}

// New returns a Forwarder.
func New(d Deps) *Forwarder {
	return &Forwarder{deps: d, startedAt: d.Now(), preferences: preferences{id: d.ID, dc: d.DC, board: d.Notices}, newcomers: fulmarnewcomer.New(d.ID)}
}

// Repeatable reports whether the request's route is idempotent.
func (f *Forwarder) Repeatable(r *fulmarhttpserver.Request) bool {
	v := f.deps.Views.Get()
	if !v.Ready() {
		return false
	}
	route, ok := v.Routes.Match(r.Host, path(r.RequestURI))
	return ok && route.Kind.Repeatable()
}

func path(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// exchange is the handling of one request.
type exchange struct {
	forwarder    *Forwarder
	request      *fulmarhttpserver.Request
	view         *fulmarview.View
	route        fulmarroute.Route
	service      fulmarroute.Service
	id           string
	key          int             // -1 if the service is not keyed
	span         fulmarview.Span // of the key, as it was looked up last
	deadline     time.Time
	cancel       context.CancelFunc // ends the sends of the request
	sends        int                // number of times the request was sent, at least in part
	dials        int                // number of targets to which no byte could be sent
	mayHaveRun   bool               // a target may have executed the request
	lastError    error              // error of the last send
	statements   []statement        // what the targets answered, for each send
	first        [1]statement       // memory of statements for the first send
	tried        map[string]bool
	hedged       string // hedgeWon or hedgeLost if the request was sent a second time as its answer was late
	target       string
	reason       Reason
	retryAfter   time.Duration     // least time after which a refused request may be admitted, zero if it is not known
	coldRefusals int               // number of cold targets that had no room for the request
	notAdmitted  map[string]Reason // by target: why it did not admit the request
	bytes        int64             // of the answer's body; for a streamed answer those read from the target
	fingerprints works             // of the request; see exchange.works
}

// Serve implements fulmarhttpserver.Handler.
func (f *Forwarder) Serve(ctx context.Context, r *fulmarhttpserver.Request) *fulmarhttpserver.Answer {
	x := &exchange{forwarder: f, request: r, view: f.deps.Views.Get(), id: r.Header.Get(f.deps.HeaderNames.RequestID), key: -1}
	x.statements = x.first[:0]
	a := x.serve(ctx)
	if a.Remainder != nil {
		x.stream(ctx, a)
		return a
	}
	x.end(a)
	return a
}

// end ends the exchange, after which nothing more of its answer is read.
func (x *exchange) end(a *fulmarhttpserver.Answer) {
	if x.cancel != nil {
		x.cancel()
	}
	x.logResult(a)
}

func (x *exchange) serve(ctx context.Context) *fulmarhttpserver.Answer {
	d := &x.forwarder.deps
	if !x.awaitView(ctx) {
		return x.refuse(NoConfiguration)
	}
	route, ok := x.view.Routes.Match(x.request.Host, path(x.request.RequestURI))
	if !ok {
		return x.fail(http.StatusNotFound, NoRoute)
	}
	x.route = route
	if x.id == "" {
		return x.fail(http.StatusBadRequest, NoID)
	}
	x.deadline = x.request.ReceivedAt.Add(route.Timeout)
	if ms, err := strconv.ParseFloat(x.request.Header.Get(d.HeaderNames.Deadline), 64); err == nil && ms >= 0 {
		if end := x.request.ReceivedAt.Add(time.Duration(ms * float64(time.Millisecond))); end.Before(x.deadline) {
			x.deadline = end
		}
	}
	if d.LatestEnd != nil {
		if end := d.LatestEnd(); !end.IsZero() && x.deadline.After(end) {
			return x.refuse(Interrupted)
		}
	}
	x.service, _ = x.view.Routes.Service(d.Splitter.Next(route))
	if x.service.Keyed {
		key, err := strconv.Atoi(x.request.Header.Get(d.HeaderNames.Key))
		if err != nil || key < 0 || key > lastKey {
			return x.fail(http.StatusBadRequest, NoKey)
		}
		x.key = key
		d.Loads.Note(x.service.Name, key)
	}
	d.RetryBudget.RecordRequest(x.request.ReceivedAt, x.service.Name)
	ctx, x.cancel = context.WithDeadline(ctx, x.deadline)
	return x.sendUntilAnswered(ctx)
}

// awaitView waits up to viewTimeout for the configuration, which a daemon that has just started does not have yet.
func (x *exchange) awaitView(ctx context.Context) bool {
	if x.view.Ready() {
		return true
	}
	if d := &x.forwarder.deps; d.Now().Sub(x.forwarder.startedAt) >= startupTime {
		return false
	}
	timer := time.NewTimer(viewTimeout)
	defer timer.Stop()
	for {
		view, changed := x.forwarder.deps.Views.Watch()
		if view.Ready() {
			x.view = view
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// logResult logs the result of a request and updates the metrics.
func (x *exchange) logResult(a *fulmarhttpserver.Answer) {
	d := &x.forwarder.deps
	took := d.Now().Sub(x.request.ReceivedAt)
	if x.reason == "" {
		d.Metrics.Served(x.service.Name, x.route.Name, took)
	} else {
		d.Metrics.Count("relay." + metricLabel(x.reason))
	}
	version := uint64(0)
	if x.view.Routes != nil {
		version = x.view.Routes.Version()
	}
	fields := []any{
		"id", x.id, "route", x.route.Name, "service", x.service.Name, "key", x.key, "target", x.target, "sends", x.sends,
		"status", a.Status, "reason", string(x.reason), "bytes", x.bytes, "ms", took.Milliseconds(), "config", version,
		"age", d.Clock().Sub(x.view.AsOf).Milliseconds(),
	}
	if rate, ok := d.Limits.Rate(x.target); ok {
		fields = append(fields, "limit", rate)
	}
	if rate, cold := d.Coldness.Rate(x.target); cold {
		fields = append(fields, "coldlimit", rate)
	}
	if text := x.statementsText(); text != "" {
		fields = append(fields, "answers", text)
	}
	if x.hedged != "" {
		fields = append(fields, "hedge", x.hedged)
	}
	if x.lastError != nil {
		fields = append(fields, "cause", x.lastError)
	}
	if x.route.Kind == fulmarroute.UnknownKind {
		d.Metrics.Count("relay.unknown_kind")
	}
	d.Log.Info("request finished", fields...)
}
