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

// router is a fake of the system around an entry; it also counts.
type router struct {
	mu         sync.Mutex
	table      fulmarslot.Table
	config     fulmarconfig.Config
	refusal    fulmaroutcome.Reason
	dispatcher http.Handler
	holder     fulmarslot.Member
	members    map[string]fulmarslot.Member
	retried    map[fulmaroutcome.Reason]int
	refused    map[fulmaroutcome.Reason]int
	served     int
	down       chan struct{}
}

func (r *router) Table() fulmarslot.Table     { return r.table }
func (r *router) Config() fulmarconfig.Config { return r.config }

func (r *router) Accepting() (fulmaroutcome.Reason, bool) { return r.refusal, r.refusal == "" }

func (r *router) Dispatcher(string) (http.Handler, bool) { return r.dispatcher, r.dispatcher != nil }

func (r *router) Holder(string) (fulmarslot.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder, r.holder.ID != ""
}

func (r *router) Down(string) <-chan struct{} {
	down := r.down
	r.down = nil // the peer is back for the next attempt
	return down
}

func (r *router) Learn(_, member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder = r.members[member]
}

func (r *router) Served(string, string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
}

func (r *router) Refused(_, _ string, _ fulmaroutcome.Outcome, reason fulmaroutcome.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[reason]++
}

func (r *router) Retried(reason fulmaroutcome.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retried[reason]++
}

func (r *router) retries(reason fulmaroutcome.Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retried[reason]
}

// node is an instance with a callers' and a peers' listener.
type node struct {
	*router
	entry   *fulmarentry.Entry
	callers *httptest.Server
	peers   *httptest.Server
	member  fulmarslot.Member
}

// newNode returns an instance that dispatches nothing.
func newNode(id string, budget *fulmarbudget.Budget) *node {
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
	n := &node{router: &router{
		table: table, config: config, members: make(map[string]fulmarslot.Member),
		retried: make(map[fulmaroutcome.Reason]int), refused: make(map[fulmaroutcome.Reason]int),
	}}
	n.entry = fulmarentry.New(fulmarentry.Deps{
		Router: n.router, Self: id, SharedKey: []byte("secret"), MaxConnsPerPeer: 8, RetryBudget: budget,
		Metrics: n.router, Now: time.Now,
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

// alone returns an instance with the dispatcher f of all targets.
func alone(f http.HandlerFunc) *node {
	checkLeaks()
	n := newNode("a", plenty())
	n.dispatcher = f
	return n
}

// pair returns an instance and the peer that dispatches all targets with f.
func pair(f http.HandlerFunc) (*node, *node) {
	checkLeaks()
	a, b := newNode("a", plenty()), newNode("b", plenty())
	a.holder, b.dispatcher = b.member, f
	return a, b
}

func plenty() *fulmarbudget.Budget { return fulmarbudget.New(100, 1000, rand.NewPCG(1, 2)) }

// answers returns a dispatcher that answers in turn with the given handlers, and with the last one from then on.
func answers(handlers ...http.HandlerFunc) http.HandlerFunc {
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

func refuse(o fulmaroutcome.Outcome, reason fulmaroutcome.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fulmarreply.Refuse(w, o, reason, "") }
}

func serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(fulmaroutcome.HeaderOutcome, string(fulmaroutcome.Served))
	_, _ = io.WriteString(w, "done")
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// request returns a valid request of an at-most-once service; edits change it.
func (n *node) request(service string, body io.Reader, edits ...func(*http.Request)) *http.Request {
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

// with sets a header, or removes it if the value is empty.
func with(name, value string) func(*http.Request) {
	return func(r *http.Request) {
		if value == "" {
			r.Header.Del(name)
			return
		}
		r.Header.Set(name, value)
	}
}

// reply is what a caller saw.
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

// checkLeaks fails the test if a goroutine that it started is left after the cleanup.
func checkLeaks() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }).WithTimeout(10 * time.Second).Should(Succeed())
	})
}
