package fulmarentry_test

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/fulmarbend/fulmarbend/internal/fulmarentry"
	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbudget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	notRun  = fulmaroutcome.NotRun
	unknown = fulmaroutcome.Unknown
)

const configText = `
[defaults]
weight = 1.0
queue = 100
timeout = "5s"
maxtimeout = "30s"
body = "64MiB"
slots = 4
long = 8.0
moving = 64

[[service]]
name = "board"
slots = 4
idempotent = true

[[service]]
name = "desk"
slots = 4
idempotent = false

[[group]]
name = "g1"

[[group]]
name = "small"

[[exception]]
name = "little"
group = "small"
body = "100B"
reason = "test of the bound on bodies"
`

// fakeRouter implements Router and Metrics for tests.
type fakeRouter struct {
	mu            sync.Mutex
	table         fulmarslot.Table
	config        fulmarconfig.Config
	refusalReason fulmaroutcome.Reason
	dispatcher    http.Handler
	holder        fulmarslot.Member
	members       map[string]fulmarslot.Member
	retryCounts   map[fulmaroutcome.Reason]int
	refusalCounts map[fulmaroutcome.Reason]int
	servedCount   int
	down          chan struct{}
}

func (r *fakeRouter) Table() fulmarslot.Table     { return r.table }
func (r *fakeRouter) Config() fulmarconfig.Config { return r.config }

func (r *fakeRouter) Accepting() (fulmaroutcome.Reason, bool) {
	return r.refusalReason, r.refusalReason == ""
}

func (r *fakeRouter) Dispatcher(string) (http.Handler, bool) {
	return r.dispatcher, r.dispatcher != nil
}

func (r *fakeRouter) Holder(string) (fulmarslot.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder, r.holder.ID != ""
}

func (r *fakeRouter) Down(string) <-chan struct{} {
	down := r.down
	r.down = nil // the peer is up again in the next attempt
	return down
}

func (r *fakeRouter) Learn(_, member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder = r.members[member]
}

func (r *fakeRouter) Served(string, string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servedCount++
}

func (r *fakeRouter) Refused(_, _ string, _ fulmaroutcome.Outcome, reason fulmaroutcome.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusalCounts[reason]++
}

func (r *fakeRouter) Retried(reason fulmaroutcome.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryCounts[reason]++
}

func (r *fakeRouter) retries(reason fulmaroutcome.Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryCounts[reason]
}

// instance is an entry with a server for callers and a server for peers.
type instance struct {
	*fakeRouter
	entry   *fulmarentry.Entry
	callers *httptest.Server
	peers   *httptest.Server
	member  fulmarslot.Member
}

// newInstance returns an instance without a dispatcher.
func newInstance(id string, budget *fulmarbudget.Budget) *instance {
	config, err := fulmarconfig.Parse([]byte(configText))
	Expect(err).NotTo(HaveOccurred())
	table := fulmarslot.New(map[string]int{"board": 4, "desk": 4})
	changes := []fulmarslot.Change{}
	for _, service := range []string{"board", "desk"} {
		changes = append(changes, fulmarslot.PutTarget(fulmarslot.Target{
			ID: service + "-1", Service: service, Address: "127.0.0.1:1", Fenced: true,
		}))
		for slot := range 4 {
			changes = append(changes, fulmarslot.Assign(service, slot, service+"-1"))
		}
	}
	table, err = table.With(changes...)
	Expect(err).NotTo(HaveOccurred())
	n := &instance{fakeRouter: &fakeRouter{
		table: table, config: config, members: make(map[string]fulmarslot.Member),
		retryCounts: make(map[fulmaroutcome.Reason]int), refusalCounts: make(map[fulmaroutcome.Reason]int),
	}}
	n.entry = fulmarentry.New(fulmarentry.Deps{
		Router: n.fakeRouter, Self: id, SharedKey: []byte("secret"), MaxConnsPerPeer: 8, RetryBudget: budget,
		Metrics: n.fakeRouter, Now: time.Now,
	})
	n.callers, n.peers = httptest.NewServer(n.entry.CallerHandler()), httptest.NewServer(n.entry.PeerHandler())
	quiet := log.New(io.Discard, "", 0)
	n.callers.Config.ErrorLog, n.peers.Config.ErrorLog = quiet, quiet
	n.member = fulmarslot.Member{ID: id, DataAddress: strings.TrimPrefix(n.peers.URL, "http://")}
	DeferCleanup(func() {
		n.entry.Close()
		n.callers.CloseClientConnections()
		n.peers.CloseClientConnections()
		n.callers.Close()
		n.peers.Close()
	})
	return n
}

// newSingleInstance returns an instance whose dispatcher of all targets is f.
func newSingleInstance(f http.HandlerFunc) *instance {
	checkLeaks()
	n := newInstance("a", largeBudget())
	n.dispatcher = f
	return n
}

// newInstancePair returns an instance without a dispatcher and its peer, whose
// dispatcher of all targets is f.
func newInstancePair(f http.HandlerFunc) (*instance, *instance) {
	checkLeaks()
	a, b := newInstance("a", largeBudget()), newInstance("b", largeBudget())
	a.holder, b.dispatcher = b.member, f
	return a, b
}

// largeBudget returns a retry budget that no test exhausts.
func largeBudget() *fulmarbudget.Budget { return fulmarbudget.New(100, 1000, rand.NewPCG(1, 2)) }

// answerInTurn returns a dispatcher that uses the handlers one after the other, one
// for each request, and the last one for all further requests.
func answerInTurn(handlers ...http.HandlerFunc) http.HandlerFunc {
	var mu sync.Mutex
	next := 0
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		h := handlers[min(next, len(handlers)-1)]
		next++
		mu.Unlock()
		h(w, r)
	}
}

func refusalHandler(o fulmaroutcome.Outcome, reason fulmaroutcome.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fulmarreply.Refuse(w, o, reason, "") }
}

func servedHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(fulmaroutcome.HeaderOutcome, string(fulmaroutcome.Served))
	_, _ = io.WriteString(w, "done")
}

func abortHandler(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// request returns a valid request for the service, changed by the edits.
func (n *instance) request(service string, body io.Reader, edits ...func(*http.Request)) *http.Request {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, n.callers.URL+"/"+service+"/x?y=1", body)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set(fulmaroutcome.HeaderKey, "k1")
	r.Header.Set(fulmaroutcome.HeaderGroup, "g1")
	r.Header.Set(fulmaroutcome.HeaderRequestID, uuid.Must(uuid.NewV7()).String())
	for _, edit := range edits {
		edit(r)
	}
	return r
}

// withHeader returns an edit that sets a header, or removes it if the value is empty.
func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) {
		if value == "" {
			r.Header.Del(name)
			return
		}
		r.Header.Set(name, value)
	}
}

// reply is the response that a caller received.
type reply struct {
	*http.Response
	body string
	err  error
}

func do(r *http.Request) reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{Response: resp, body: string(body), err: err}
}

func expectServed(got reply) {
	GinkgoHelper()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.Header.Get(fulmaroutcome.HeaderOutcome)).To(Equal("served"), got.body)
	Expect(got.body).To(Equal("done"))
}

func expectRefused(got reply, o fulmaroutcome.Outcome, reason fulmaroutcome.Reason) {
	GinkgoHelper()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.Header.Get(fulmaroutcome.HeaderOutcome)+" "+got.Header.Get(fulmaroutcome.HeaderReason)).
		To(Equal(string(o)+" "+string(reason)), got.body)
	Expect(got.Header.Get("Retry-After") != "").To(Equal(o == notRun && fulmarreply.Retryable(reason)))
}

// checkLeaks fails the test if a goroutine that it started still runs after the cleanup.
func checkLeaks() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }).WithTimeout(10 * time.Second).Should(Succeed())
	})
}
