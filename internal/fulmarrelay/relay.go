package fulmarrelay

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserve"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpick"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// viewWait covers the first read of the store by a daemon that starts together with all others.
const viewWait = 400 * time.Millisecond

// Metrics counts what the relay decides.
type Metrics interface {
	Served(service, group string, took time.Duration)
	Count(name string)
}

// Loads learns which keys are busy.
type Loads interface {
	// Note records a request for a key of a service.
	Note(service string, key int)
}

// Deps are what a relay works with.
type Deps struct {
	Names       Names
	ID          string // of the daemon
	DC          string
	Views       *fulmarview.Holder
	Pool        *fulmarlink.Pool
	Balancer    *fulmarpick.Balancer
	Splitter    *fulmarroute.Splitter
	RetryBudget *fulmarallowance.RetryBudget
	Loads       Loads
	Metrics     Metrics
	Log         *slog.Logger
	Now         func() time.Time
	Clock       func() time.Time     // the clock of the times in views
	DrainTime   func() time.Duration // for which a leaving target takes requests for its keys
}

// Relay serves callers' requests; it is safe for concurrent use.
type Relay struct {
	deps Deps
	near near
}

// New returns a relay.
func New(d Deps) *Relay { return &Relay{deps: d, near: near{id: d.ID, dc: d.DC}} }

// Repeatable reports whether the request's route allows it to run more than once.
func (y *Relay) Repeatable(r *fulmarserve.Request) bool {
	v := y.deps.Views.Get()
	if !v.Ready() {
		return false
	}
	route, ok := v.Routes.Match(r.Host, path(r.RequestURI))
	return ok && route.Idempotent
}

func path(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// exchange is the handling of one request.
type exchange struct {
	relay    *Relay
	request  *fulmarserve.Request
	view     *fulmarview.View
	route    fulmarroute.Route
	service  fulmarroute.Service
	id       string
	key      int // -1 if the request has none
	deadline time.Time
	sends    int   // targets that the request reached
	doubtful bool  // a target may have run it
	cause    error // why the last send was not answered
	tried    map[string]bool
	target   string
	reason   Reason
}

// Serve answers a request; see fulmarserve.Handler.
func (y *Relay) Serve(ctx context.Context, r *fulmarserve.Request) *fulmarserve.Answer {
	x := &exchange{relay: y, request: r, view: y.deps.Views.Get(), id: r.Header.Get(y.deps.Names.RequestID), key: -1}
	a := x.serve(ctx)
	x.record(a)
	return a
}

func (x *exchange) serve(ctx context.Context) *fulmarserve.Answer {
	d := &x.relay.deps
	if !x.awaitView(ctx) {
		return x.refuse(NoConfiguration)
	}
	route, ok := x.view.Routes.Match(x.request.Host, path(x.request.RequestURI))
	if !ok {
		return x.fail(http.StatusNotFound, NoRoute)
	}
	x.route = route
	x.deadline = x.request.ReceivedAt.Add(route.Timeout)
	if ms, err := strconv.ParseFloat(x.request.Header.Get(d.Names.Deadline), 64); err == nil && ms >= 0 {
		if end := x.request.ReceivedAt.Add(time.Duration(ms * float64(time.Millisecond))); end.Before(x.deadline) {
			x.deadline = end
		}
	}
	x.service, _ = x.view.Routes.Service(d.Splitter.Next(route))
	if x.service.Keyed {
		key, err := strconv.Atoi(x.request.Header.Get(d.Names.Key))
		if err != nil || key < 0 || key > lastKey {
			return x.fail(http.StatusBadRequest, NoKey)
		}
		x.key = key
		d.Loads.Note(x.service.Name, key)
	}
	d.RetryBudget.RecordRequest(x.request.ReceivedAt, x.service.Name)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	return x.attempts(ctx)
}

// awaitView waits a short time for the fleet's configuration, which a daemon that has just started lacks.
func (x *exchange) awaitView(ctx context.Context) bool {
	timer := time.NewTimer(viewWait)
	defer timer.Stop()
	for {
		view, changed := x.relay.deps.Views.Watch()
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

// record writes the line and the counters of a request that has ended.
func (x *exchange) record(a *fulmarserve.Answer) {
	d := &x.relay.deps
	took := d.Now().Sub(x.request.ReceivedAt)
	if x.reason == "" {
		d.Metrics.Served(x.service.Name, x.route.Name, took)
	} else {
		d.Metrics.Count("relay." + label(x.reason))
	}
	version := uint64(0)
	if x.view.Routes != nil {
		version = x.view.Routes.Version()
	}
	fields := []any{
		"id", x.id, "route", x.route.Name, "service", x.service.Name, "key", x.key, "target", x.target, "sends", x.sends,
		"status", a.Status, "reason", string(x.reason), "ms", took.Milliseconds(), "config", version,
		"age", d.Clock().Sub(x.view.AsOf).Milliseconds(),
	}
	if x.cause != nil {
		fields = append(fields, "cause", x.cause)
	}
	d.Log.Info("request", fields...)
}
