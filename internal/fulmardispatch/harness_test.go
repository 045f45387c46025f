package fulmardispatch_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/fulmarbend/fulmarbend/internal/fulmardispatch"
	"github.com/fulmarbend/fulmarbend/internal/fulmartarget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcost"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	service     = "desk"
	key         = "k1"
	maxKeptBody = 1 << 10 // size of the largest response body that is recorded, in bytes
)

type noMetrics struct{}

func (noMetrics) Count(string) {}

// fixture is a dispatcher between a fake target and an HTTP server that receives
// routed requests.
type fixture struct {
	d                  *fulmardispatch.Dispatcher
	guard              *fulmarguard.Guard
	target             *httptest.Server
	front              *httptest.Server
	client             *http.Client
	targetHandler      atomic.Pointer[http.HandlerFunc]
	table              atomic.Pointer[fulmarslot.Table]
	clockOffset        atomic.Int64 // of the dispatcher's clock from the system clock, in nanoseconds
	idempotent         bool
	clearedFingerprint atomic.Uint64 // fingerprint of the last suspect that completed

	mu              sync.Mutex
	executionCounts map[string]int // number of executions by request id
}

// newFixture returns a fixture whose dispatcher holds all slots and whose
// deduplication records are complete for the last minute.
func newFixture(idempotent bool, slots int) *fixture {
	r := &fixture{idempotent: idempotent, executionCounts: make(map[string]int), client: &http.Client{Transport: &http.Transport{}}}
	checkLeaks()
	r.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	r.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.executionCounts[q.Header.Get(fulmaroutcome.HeaderRequestID)]++
		r.mu.Unlock()
		(*r.targetHandler.Load())(w, q)
	}))
	r.target.Config.ErrorLog = discardLogger()
	table := fulmarslot.New(map[string]int{service: 4})
	r.table.Store(&table)
	r.d, r.guard = r.dispatcher()
	r.clockOffset.Store(int64(-time.Minute))
	r.d.Open(1, slots, []int{0, 1, 2, 3})
	r.clockOffset.Store(0)
	r.front = httptest.NewServer(r.d)
	r.front.Config.ErrorLog = discardLogger()
	DeferCleanup(func() {
		r.d.Close(fulmaroutcome.NotHolder)
		r.client.CloseIdleConnections()
		r.target.CloseClientConnections()
		r.front.Close()
		r.target.Close()
	})
	return r
}

// dispatcher returns another dispatcher of the fixture's target.
func (r *fixture) dispatcher() (*fulmardispatch.Dispatcher, *fulmarguard.Guard) {
	client := fulmartarget.New(8, nil)
	DeferCleanup(client.Close)
	guard := fulmarguard.New(time.Hour, 16)
	address := strings.TrimPrefix(r.target.URL, "http://")
	return fulmardispatch.New(
		fulmarslot.Target{ID: "t1", Service: service, Address: address, Fenced: true},
		fulmardispatch.Deps{
			Client: client, Metrics: noMetrics{}, Guard: guard, Cost: fulmarcost.New(8),
			Dedup: fulmardedup.Settings{Retention: 10 * time.Minute, MaxSkew: 100 * time.Millisecond, MaxBody: maxKeptBody},
			Limits: func(string, string) (fulmarconfig.Limits, bool) {
				return fulmarconfig.Limits{Weight: 1, MaxQueue: 1000}, true
			},
			Idempotent:       func(string) bool { return r.idempotent },
			OnSuspectCleared: r.clearedFingerprint.Store,
			Table:            func() fulmarslot.Table { return *r.table.Load() },
			Now:              func() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) },
		}), guard
}

// assignKeySlot makes the target the owner of the key's slot in the table.
func (r *fixture) assignKeySlot() fulmarslot.Table {
	table := *r.table.Load()
	slot, _ := table.Slot(service, key)
	table, err := table.With(
		fulmarslot.PutTarget(fulmarslot.Target{ID: "t1", Service: service, Address: "127.0.0.1:1", Fenced: true}),
		fulmarslot.Assign(service, slot, "t1"))
	Expect(err).NotTo(HaveOccurred())
	r.table.Store(&table)
	return table
}

// setTargetHandler replaces the handler of the target.
func (r *fixture) setTargetHandler(f http.HandlerFunc) { r.targetHandler.Store(&f) }

// executions returns how many times the target ran the request with the id.
func (r *fixture) executions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executionCounts[id]
}

// call describes a routed request.
type call struct {
	id      string
	slot    int // 0 for the slot of the key, -n for slot n
	timeout time.Duration
	body    io.Reader
	path    string
}

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error // of reading the body
}

// request returns the HTTP request for c.
func (r *fixture) request(ctx context.Context, c call) *http.Request {
	if c.timeout == 0 {
		c.timeout = 10 * time.Second
	}
	if c.slot < 0 {
		c.slot = -c.slot
	} else {
		c.slot, _ = r.table.Load().Slot(service, key)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, r.front.URL+"/"+service+"/"+c.path, c.body)
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set(fulmaroutcome.HeaderKey, key)
	q.Header.Set(fulmaroutcome.HeaderGroup, "g1")
	q.Header.Set(fulmaroutcome.HeaderSlot, strconv.Itoa(c.slot))
	q.Header.Set(fulmaroutcome.HeaderDeadline, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if c.id != "" {
		q.Header.Set(fulmaroutcome.HeaderRequestID, c.id)
	}
	return q
}

// do sends a routed request and reads the whole response.
func (r *fixture) do(ctx context.Context, c call) reply {
	resp, err := r.client.Do(r.request(ctx, c))
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, outcome: resp.Header.Get(fulmaroutcome.HeaderOutcome),
		reason: resp.Header.Get(fulmaroutcome.HeaderReason), body: string(body), err: err,
	}
}

// start sends a routed request in the background.
func (r *fixture) start(ctx context.Context, c call) chan reply {
	out := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		out <- r.do(ctx, c)
	}()
	return out
}

// gate is a target handler that blocks each request until the gate is opened, and
// counts the blocked requests.
type gate struct {
	open     chan struct{}
	inside   atomic.Int32
	canceled atomic.Int32 // number of requests that were canceled before the gate was opened
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

func (g *gate) serve(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	g.inside.Add(1)
	defer g.inside.Add(-1)
	select {
	case <-g.open:
		_, _ = io.WriteString(w, "done")
	case <-q.Context().Done():
		g.canceled.Add(1)
	}
}

// newID returns a request id with the current time.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

func expectServed(got reply, body string) {
	GinkgoHelper()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.outcome).To(Equal("served"), got.reason)
	Expect(got.body).To(Equal(body))
}

func expectRefused(got reply, o fulmaroutcome.Outcome, reason fulmaroutcome.Reason) {
	GinkgoHelper()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.outcome + " " + got.reason).To(Equal(string(o) + " " + string(reason)))
}

// checkLeaks fails the test if a goroutine that it started still runs after the cleanup.
func checkLeaks() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }).WithTimeout(10 * time.Second).Should(Succeed())
	})
}
