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
	service = "desk"
	key     = "k1"
	keep    = 1 << 10 // largest answer kept
)

type nothing struct{}

func (nothing) Count(string) {}

// rig is a dispatcher between a fake target and a front server that callers reach over HTTP.
type rig struct {
	d          *fulmardispatch.Dispatcher
	guard      *fulmarguard.Guard
	target     *httptest.Server
	front      *httptest.Server
	client     *http.Client
	handle     atomic.Pointer[http.HandlerFunc]
	table      atomic.Pointer[fulmarslot.Table]
	offset     atomic.Int64 // of the dispatcher's clock
	idempotent bool
	cleared    atomic.Uint64 // fingerprint of the suspect that completed last

	mu   sync.Mutex
	runs map[string]int // executions by request id
}

// newRig returns a rig whose dispatcher holds all slots and has a request memory that is a minute old.
func newRig(idempotent bool, slots int) *rig {
	r := &rig{idempotent: idempotent, runs: make(map[string]int), client: &http.Client{Transport: &http.Transport{}}}
	checkLeaks()
	r.serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	r.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.runs[q.Header.Get(fulmaroutcome.HeaderRequestID)]++
		r.mu.Unlock()
		(*r.handle.Load())(w, q)
	}))
	r.target.Config.ErrorLog = quiet()
	table := fulmarslot.New(map[string]int{service: 4})
	r.table.Store(&table)
	r.d, r.guard = r.dispatcher()
	r.offset.Store(int64(-time.Minute))
	r.d.Open(1, slots, []int{0, 1, 2, 3})
	r.offset.Store(0)
	r.front = httptest.NewServer(r.d)
	r.front.Config.ErrorLog = quiet()
	DeferCleanup(func() {
		r.d.Close(fulmaroutcome.NotHolder)
		r.client.CloseIdleConnections()
		r.target.CloseClientConnections()
		r.front.Close()
		r.target.Close()
	})
	return r
}

// dispatcher returns another dispatcher of the rig's target.
func (r *rig) dispatcher() (*fulmardispatch.Dispatcher, *fulmarguard.Guard) {
	client := fulmartarget.New(8, nil)
	DeferCleanup(client.Close)
	guard := fulmarguard.New(time.Hour, 16)
	address := strings.TrimPrefix(r.target.URL, "http://")
	return fulmardispatch.New(
		fulmarslot.Target{ID: "t1", Service: service, Address: address, Fenced: true},
		fulmardispatch.Deps{
			Client: client, Metrics: nothing{}, Guard: guard, Cost: fulmarcost.New(8),
			Dedup: fulmardedup.Settings{Retention: 10 * time.Minute, MaxSkew: 100 * time.Millisecond, MaxBody: keep},
			Limits: func(string, string) (fulmarconfig.Limits, bool) {
				return fulmarconfig.Limits{Weight: 1, Queue: 1000}, true
			},
			Idempotent:       func(string) bool { return r.idempotent },
			OnSuspectCleared: r.cleared.Store,
			Table:            func() fulmarslot.Table { return *r.table.Load() },
			Now:              func() time.Time { return time.Now().Add(time.Duration(r.offset.Load())) },
		}), guard
}

// own makes the target the owner of the key's slot in the table.
func (r *rig) own() fulmarslot.Table {
	table := *r.table.Load()
	slot, _ := table.Slot(service, key)
	table, err := table.With(
		fulmarslot.PutTarget(fulmarslot.Target{ID: "t1", Service: service, Address: "127.0.0.1:1", Fenced: true}),
		fulmarslot.Assign(service, slot, "t1"))
	Expect(err).NotTo(HaveOccurred())
	r.table.Store(&table)
	return table
}

// serve replaces the behaviour of the target.
func (r *rig) serve(f http.HandlerFunc) { r.handle.Store(&f) }

// executions returns how often the target ran an id.
func (r *rig) executions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// call is a routed request.
type call struct {
	id      string
	slot    int // negative for the slot with that number instead of the key's
	timeout time.Duration
	body    io.Reader
	path    string
}

// reply is what a caller saw.
type reply struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error // of reading the body
}

// request returns a routed request.
func (r *rig) request(ctx context.Context, c call) *http.Request {
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

// do sends a routed request and reads the whole answer.
func (r *rig) do(ctx context.Context, c call) reply {
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
func (r *rig) start(ctx context.Context, c call) chan reply {
	out := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		out <- r.do(ctx, c)
	}()
	return out
}

// gate is target behaviour that waits until it is opened and tells how many requests are inside.
type gate struct {
	open   chan struct{}
	inside atomic.Int32
	ended  atomic.Int32 // requests that the caller cancelled
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
		g.ended.Add(1)
	}
}

// newID returns a request id of the present.
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

// checkLeaks fails the test if a goroutine that it started is left after the cleanup.
func checkLeaks() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }).WithTimeout(10 * time.Second).Should(Succeed())
	})
}
