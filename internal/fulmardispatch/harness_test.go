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
	f := &fixture{idempotent: idempotent, executionCounts: make(map[string]int), client: &http.Client{Transport: &http.Transport{}}}
	checkLeaks()
	f.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	f.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.executionCounts[r.Header.Get(fulmaroutcome.HeaderRequestID)]++
		f.mu.Unlock()
		w.Header().Set(fulmaroutcome.HeaderExchange, r.Header.Get(fulmaroutcome.HeaderExchange))
		(*f.targetHandler.Load())(w, r)
	}))
	f.target.Config.ErrorLog = discardLogger()
	table := fulmarslot.New(map[string]int{service: 4})
	f.table.Store(&table)
	f.d, f.guard = f.dispatcher()
	f.clockOffset.Store(int64(-time.Minute))
	f.d.Open(1, slots, []int{0, 1, 2, 3})
	f.clockOffset.Store(0)
	f.front = httptest.NewServer(f.d)
	f.front.Config.ErrorLog = discardLogger()
	DeferCleanup(func() {
		f.d.Close(fulmaroutcome.NotHolder)
		f.client.CloseIdleConnections()
		f.target.CloseClientConnections()
		f.front.Close()
		f.target.Close()
	})
	return f
}

// dispatcher returns another dispatcher of the fixture's target.
func (f *fixture) dispatcher() (*fulmardispatch.Dispatcher, *fulmarguard.Guard) {
	client := fulmartarget.New(8, nil)
	DeferCleanup(client.Close)
	guard := fulmarguard.New(time.Hour, 16)
	address := strings.TrimPrefix(f.target.URL, "http://")
	return fulmardispatch.New(
		fulmarslot.Target{ID: "t1", Service: service, Address: address, Fenced: true},
		fulmardispatch.Deps{
			Client: client, Metrics: noMetrics{}, Guard: guard, Cost: fulmarcost.New(8),
			Dedup: fulmardedup.Settings{Retention: 10 * time.Minute, MaxSkew: 100 * time.Millisecond, MaxBody: maxKeptBody},
			Limits: func(string, string) (fulmarconfig.Limits, bool) {
				return fulmarconfig.Limits{Weight: 1, MaxQueue: 1000}, true
			},
			Idempotent:       func(string) bool { return f.idempotent },
			OnSuspectCleared: f.clearedFingerprint.Store,
			Table:            func() fulmarslot.Table { return *f.table.Load() },
			Now:              func() time.Time { return time.Now().Add(time.Duration(f.clockOffset.Load())) },
		}), guard
}

// assignKeySlot makes the target the owner of the key's slot in the table.
func (f *fixture) assignKeySlot() fulmarslot.Table {
	table := *f.table.Load()
	slot, _ := table.Slot(service, key)
	table, err := table.With(
		fulmarslot.PutTarget(fulmarslot.Target{ID: "t1", Service: service, Address: "127.0.0.1:1", Fenced: true}),
		fulmarslot.Assign(service, slot, "t1"))
	Expect(err).NotTo(HaveOccurred())
	f.table.Store(&table)
	return table
}

// setTargetHandler replaces the handler of the target.
func (f *fixture) setTargetHandler(h http.HandlerFunc) { f.targetHandler.Store(&h) }

// executions returns how many times the target ran the request with the id.
func (f *fixture) executions(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executionCounts[id]
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
func (f *fixture) request(ctx context.Context, c call) *http.Request {
	if c.timeout == 0 {
		c.timeout = 10 * time.Second
	}
	if c.slot < 0 {
		c.slot = -c.slot
	} else {
		c.slot, _ = f.table.Load().Slot(service, key)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/"+service+"/"+c.path, c.body)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set(fulmaroutcome.HeaderKey, key)
	r.Header.Set(fulmaroutcome.HeaderGroup, "g1")
	r.Header.Set(fulmaroutcome.HeaderSlot, strconv.Itoa(c.slot))
	r.Header.Set(fulmaroutcome.HeaderDeadline, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if c.id != "" {
		r.Header.Set(fulmaroutcome.HeaderRequestID, c.id)
	}
	return r
}

// do sends a routed request and reads the whole response.
func (f *fixture) do(ctx context.Context, c call) reply {
	resp, err := f.client.Do(f.request(ctx, c))
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
func (f *fixture) start(ctx context.Context, c call) chan reply {
	out := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		out <- f.do(ctx, c)
	}()
	return out
}

// gate is a target handler that blocks each request until the gate is opened, and
// counts the requests that it blocks.
type gate struct {
	open     chan struct{}
	blocked  atomic.Int32
	canceled atomic.Int32 // number of requests that were canceled before the gate was opened
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	g.blocked.Add(1)
	defer g.blocked.Add(-1)
	select {
	case <-g.open:
		_, _ = io.WriteString(w, "done")
	case <-r.Context().Done():
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
