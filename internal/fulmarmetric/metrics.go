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

const namePrefix = "fulmarbend."

// latencyBuckets are the upper bounds of the latency histogram's buckets in
// seconds. They range from a response of a local target to a payout run.
var latencyBuckets = []float64{.001, .002, .003, .005, .007, .011, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60, 120, 300, 600}

// validReasons holds the valid reasons of each outcome that is a refusal.
var validReasons = map[fulmaroutcome.Outcome]map[fulmaroutcome.Reason]bool{
	fulmaroutcome.NotRun: reasonSet(
		fulmaroutcome.Malformed, fulmaroutcome.TooLarge, fulmaroutcome.UnknownService, fulmaroutcome.UnknownGroup,
		fulmaroutcome.QueueFull, fulmaroutcome.Deadline, fulmaroutcome.Moving, fulmaroutcome.NotHolder,
		fulmaroutcome.NoOwner, fulmaroutcome.NoDispatcher, fulmaroutcome.Stale, fulmaroutcome.Draining,
		fulmaroutcome.Shed, fulmaroutcome.Fenced, fulmaroutcome.Condemned, fulmaroutcome.IDMissing, fulmaroutcome.Dial,
		fulmaroutcome.IDAhead, fulmaroutcome.Budget,
	),
	fulmaroutcome.Unknown: reasonSet(
		fulmaroutcome.BeforeHorizon, fulmaroutcome.AnswerDropped, fulmaroutcome.TargetLost,
		fulmaroutcome.DispatcherLost, fulmaroutcome.Late, fulmaroutcome.BodyBroken,
	),
}

// retryReasons are the valid reasons of a retry.
var retryReasons = reasonSet(
	fulmaroutcome.Moving, fulmaroutcome.NotHolder, fulmaroutcome.Dial, fulmaroutcome.Shed,
	fulmaroutcome.Fenced, fulmaroutcome.TargetLost, fulmaroutcome.DispatcherLost,
)

func reasonSet(list ...fulmaroutcome.Reason) map[fulmaroutcome.Reason]bool {
	m := make(map[fulmaroutcome.Reason]bool, len(list))
	for _, r := range list {
		m[r] = true
	}
	return m
}

// validName matches the valid names of counters and gauges.
var validName = regexp.MustCompile(`^[a-z][a-z0-9_.]*$`)

// labelValues is the key of a cached attribute set.
type labelValues struct{ outcome, reason, service, group string }

// Metrics holds the metrics of one daemon; it is safe for concurrent use.
type Metrics struct {
	meter          metric.Meter
	provider       *sdk.MeterProvider
	handler        http.Handler
	latency        metric.Float64Histogram
	refusals       metric.Int64Counter
	retries        metric.Int64Counter
	invalidReasons metric.Int64Counter
	attributeSets  sync.Map // labelValues to metric.MeasurementOption; caches the sets, so that requests do not build them
	counters       sync.Map // name to metric.Int64Counter
}

// New returns metrics with a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := export.New(export.WithRegisterer(registry), export.WithoutScopeInfo(), export.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "fulmarmetric")
	}
	// The default limit would merge all label sets beyond the first 2,000 into one, which hides groups.
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithCardinalityLimit(0))
	m := &Metrics{
		meter:    provider.Meter("fulmarbend"),
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if m.latency, err = m.meter.Float64Histogram(namePrefix+"latency", metric.WithUnit("s"),
		metric.WithDescription("Time from acceptance to the whole answer of served requests."),
		metric.WithExplicitBucketBoundaries(latencyBuckets...)); err != nil {
		return nil, errors.Wrap(err, "fulmarmetric")
	}
	for _, c := range []struct {
		dst        *metric.Int64Counter
		name, help string
	}{
		{&m.refusals, "refusals", "Requests that were not served, by outcome and reason."},
		{&m.retries, "retries", "Attempts that the entry repeated, by reason of the failed attempt."},
		{&m.invalidReasons, "invalid_reasons", "Refusals and retries whose reason has no name; a defect."},
	} {
		if *c.dst, err = m.meter.Int64Counter(namePrefix+c.name, metric.WithDescription(c.help)); err != nil {
			return nil, errors.Wrap(err, "fulmarmetric")
		}
	}
	// Each counter starts at zero, so that a rate query sees its first increase.
	for r := range retryReasons {
		m.retries.Add(context.Background(), 0, m.attributes(labelValues{reason: string(r)}))
	}
	return m, nil
}

// Handler returns the HTTP handler for /metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close shuts the meter provider down.
func (m *Metrics) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "fulmarmetric")
}

// attributes returns the cached attribute set of l. A refusal has all labels, a
// retry only the reason, and a served request only service and group.
func (m *Metrics) attributes(l labelValues) metric.MeasurementOption {
	if option, ok := m.attributeSets.Load(l); ok {
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
	option, _ := m.attributeSets.LoadOrStore(l, metric.WithAttributeSet(attribute.NewSet(list...)))
	return option.(metric.MeasurementOption)
}

// Served records the latency of a served request.
func (m *Metrics) Served(service, group string, took time.Duration) {
	m.latency.Record(context.Background(), took.Seconds(), m.attributes(labelValues{service: service, group: group}))
}

// Refused counts a request that was not served.
func (m *Metrics) Refused(service, group string, o fulmaroutcome.Outcome, r fulmaroutcome.Reason) {
	if !validReasons[o][r] {
		m.invalidReasons.Add(context.Background(), 1)
		return
	}
	m.refusals.Add(context.Background(), 1, m.attributes(labelValues{string(o), string(r), service, group}))
}

// Retried counts a retry by the reason for which the previous attempt failed.
func (m *Metrics) Retried(r fulmaroutcome.Reason) {
	if !retryReasons[r] {
		m.invalidReasons.Add(context.Background(), 1)
		return
	}
	m.retries.Add(context.Background(), 1, m.attributes(labelValues{reason: string(r)}))
}

// Count increments a counter. It panics unless name starts with a-z and holds only a-z, 0-9, '_' and '.'.
func (m *Metrics) Count(name string) {
	c, ok := m.counters.Load(name)
	if !ok {
		checkName(name)
		created, err := m.meter.Int64Counter(namePrefix + name)
		if err != nil {
			panic("fulmarmetric: " + err.Error())
		}
		c, _ = m.counters.LoadOrStore(name, created)
	}
	c.(metric.Int64Counter).Add(context.Background(), 1)
}

// RegisterGauges adds a gauge whose values by label are the result of read; see RegisterGauge.
func (m *Metrics) RegisterGauges(name, label string, read func() map[string]float64) {
	checkName(name)
	_, err := m.meter.Float64ObservableGauge(namePrefix+name, metric.WithFloat64Callback(
		func(_ context.Context, o metric.Float64Observer) error {
			for value, n := range read() {
				o.Observe(n, metric.WithAttributes(attribute.String(label, value)))
			}
			return nil
		}))
	if err != nil {
		panic("fulmarmetric: " + err.Error())
	}
}

// RegisterGauge adds a gauge whose value is the result of read, which is called at each collection,
// possibly concurrently. It panics unless name starts with a-z and holds only a-z, 0-9, '_' and '.'.
func (m *Metrics) RegisterGauge(name string, read func() float64) {
	checkName(name)
	_, err := m.meter.Float64ObservableGauge(namePrefix+name, metric.WithFloat64Callback(
		func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		panic("fulmarmetric: " + err.Error())
	}
}

func checkName(name string) {
	if !validName.MatchString(name) {
		panic("fulmarmetric: invalid metric name " + name)
	}
}
