package fulmarmetric

import (
	"context"
	"net/http"
	"regexp"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	export "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

const prefix = "fulmarbend."

// latencies are the bounds of the latency histogram in seconds, from a local answer to a payout run.
var latencies = []float64{.001, .002, .003, .005, .007, .011, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60, 120, 300, 600}

// reasons are the valid reasons of each outcome.
var reasons = map[fulmaroutcome.Outcome]map[fulmaroutcome.Reason]bool{
	fulmaroutcome.NotRun: set(
		fulmaroutcome.Malformed, fulmaroutcome.TooLarge, fulmaroutcome.UnknownService, fulmaroutcome.UnknownGroup,
		fulmaroutcome.QueueFull, fulmaroutcome.Deadline, fulmaroutcome.Moving, fulmaroutcome.NotHolder,
		fulmaroutcome.NoOwner, fulmaroutcome.NoDispatcher, fulmaroutcome.Stale, fulmaroutcome.Draining,
		fulmaroutcome.Shed, fulmaroutcome.Fenced, fulmaroutcome.Condemned, fulmaroutcome.IDMissing, fulmaroutcome.Dial,
		fulmaroutcome.IDAhead, fulmaroutcome.Budget,
	),
	fulmaroutcome.Unknown: set(
		fulmaroutcome.BeforeHorizon, fulmaroutcome.AnswerDropped, fulmaroutcome.TargetLost,
		fulmaroutcome.DispatcherLost, fulmaroutcome.Late, fulmaroutcome.BodyBroken,
	),
}

var retries = set(
	fulmaroutcome.Moving, fulmaroutcome.NotHolder, fulmaroutcome.Dial, fulmaroutcome.Shed,
	fulmaroutcome.Fenced, fulmaroutcome.TargetLost, fulmaroutcome.DispatcherLost,
)

func set(list ...fulmaroutcome.Reason) map[fulmaroutcome.Reason]bool {
	m := make(map[fulmaroutcome.Reason]bool, len(list))
	for _, r := range list {
		m[r] = true
	}
	return m
}

// validName matches names of counters and gauges.
var validName = regexp.MustCompile(`^[a-z][a-z0-9_.]*$`)

// labels identify a cached attribute set.
type labels struct{ outcome, reason, service, group string }

// Metrics are the metrics of one daemon; it is safe for concurrent use.
type Metrics struct {
	meter    metric.Meter
	provider *sdk.MeterProvider
	handler  http.Handler
	served   metric.Float64Histogram
	refused  metric.Int64Counter
	retried  metric.Int64Counter
	invalid  metric.Int64Counter
	sets     sync.Map // labels to metric.MeasurementOption, so that a request does not build its set
	counters sync.Map // name to metric.Int64Counter
}

// New returns metrics on a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := export.New(export.WithRegisterer(registry), export.WithoutScopeInfo(), export.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "fulmarmetric")
	}
	// The default limit would fold groups beyond the first 2,000 label sets into a collective one.
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithCardinalityLimit(0))
	m := &Metrics{
		meter:    provider.Meter("fulmarbend"),
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if m.served, err = m.meter.Float64Histogram(prefix+"latency", metric.WithUnit("s"),
		metric.WithDescription("Time from acceptance to the whole answer of served requests."),
		metric.WithExplicitBucketBoundaries(latencies...)); err != nil {
		return nil, errors.Wrap(err, "fulmarmetric")
	}
	for _, c := range []struct {
		dst        *metric.Int64Counter
		name, help string
	}{
		{&m.refused, "refusals", "Requests that were not served, by outcome and reason."},
		{&m.retried, "retries", "Attempts that the entry repeated, by reason of the failed attempt."},
		{&m.invalid, "invalid_reasons", "Refusals and retries whose reason has no name; a defect."},
	} {
		if *c.dst, err = m.meter.Int64Counter(prefix+c.name, metric.WithDescription(c.help)); err != nil {
			return nil, errors.Wrap(err, "fulmarmetric")
		}
	}
	// A counter that starts with zero lets operators see the first increase.
	for r := range retries {
		m.retried.Add(context.Background(), 0, m.set(labels{reason: string(r)}))
	}
	return m, nil
}

// Handler returns the handler of /metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close ends the collection.
func (m *Metrics) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "fulmarmetric")
}

func (m *Metrics) set(l labels) metric.MeasurementOption {
	if option, ok := m.sets.Load(l); ok {
		return option.(metric.MeasurementOption)
	}
	var list []attribute.KeyValue
	if l.outcome != "" {
		list = append(list, attribute.String("outcome", l.outcome))
	}
	if l.reason != "" {
		list = append(list, attribute.String("reason", l.reason))
	}
	if l.outcome != "" || l.reason == "" {
		list = append(list, attribute.String("service", l.service), attribute.String("group", l.group))
	}
	option, _ := m.sets.LoadOrStore(l, metric.WithAttributeSet(attribute.NewSet(list...)))
	return option.(metric.MeasurementOption)
}

// Served counts a served request and its latency.
func (m *Metrics) Served(service, group string, took time.Duration) {
	m.served.Record(context.Background(), took.Seconds(), m.set(labels{service: service, group: group}))
}

// Refused counts a request that was not served.
func (m *Metrics) Refused(service, group string, o fulmaroutcome.Outcome, r fulmaroutcome.Reason) {
	if !reasons[o][r] {
		m.invalid.Add(context.Background(), 1)
		return
	}
	m.refused.Add(context.Background(), 1, m.set(labels{string(o), string(r), service, group}))
}

// Retried counts a repeated attempt.
func (m *Metrics) Retried(r fulmaroutcome.Reason) {
	if !retries[r] {
		m.invalid.Add(context.Background(), 1)
		return
	}
	m.retried.Add(context.Background(), 1, m.set(labels{reason: string(r)}))
}

// Count raises the counter named name by one; it panics if name is not made of a-z, 0-9, '_' and '.'.
func (m *Metrics) Count(name string) {
	c, ok := m.counters.Load(name)
	if !ok {
		check(name)
		created, err := m.meter.Int64Counter(prefix + name)
		if err != nil {
			panic("fulmarmetric: " + err.Error())
		}
		c, _ = m.counters.LoadOrStore(name, created)
	}
	c.(metric.Int64Counter).Add(context.Background(), 1)
}

// Gauge adds a gauge whose value read returns; it panics if name is not made of a-z, 0-9, '_' and '.'.
// read is called at each collection, possibly concurrently.
func (m *Metrics) RegisterGauge(name string, read func() float64) {
	check(name)
	_, err := m.meter.Float64ObservableGauge(prefix+name, metric.WithFloat64Callback(
		func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		panic("fulmarmetric: " + err.Error())
	}
}

func check(name string) {
	if !validName.MatchString(name) {
		panic("fulmarmetric: bad name " + name)
	}
}
