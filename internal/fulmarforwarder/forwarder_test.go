package fulmarforwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

var names = fulmarforwarder.HeaderNames{
	RequestID: "Id", Deadline: "Left", Signature: "Sign", ExpectedTarget: "Target", Load: "Load", NotRun: "Not-Run", Key: "Key",
	RetryAfter: "Retry-After", Limit: "Limit", Cold: "Cold", Leaving: "Leaving",
}

// Answers of a test target; ordinary stands for a complete answer to the request.
const (
	notRun          = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: one\r\nContent-Length: 0\r\n\r\n"
	notRunWithRoom  = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: one\r\nLoad: 1,0,3,100\r\nContent-Length: 0\r\n\r\n"
	notRunFull      = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: one\r\nLoad: 3,12,3,100\r\nContent-Length: 0\r\n\r\n"
	misdirected     = "HTTP/1.1 421 x\r\nId: one\r\nContent-Length: 0\r\n\r\n"
	unsigned        = "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok"
	incomplete      = "HTTP/1.1 200 x\r\nSign: s\r\nContent-Length: 20\r\n\r\nok"
	failed          = "HTTP/1.1 500 x\r\nSign: s\r\nContent-Length: 3\r\n\r\nbad"
	late            = "HTTP/1.1 200 x\r\nSign: s\r\nId: former\r\nContent-Length: 6\r\n\r\nformer"
	ordinary        = "ordinary"
	closeConnection = "" // the connection ends without an answer
	noAnswer        = "silent"
	crashTarget     = "crash" // the target ends
)

// target is a scripted target: each request gets the next answer of the script, and the last one is repeated.
type target struct {
	id       string
	listener net.Listener
	mu       sync.Mutex
	script   []string
	seen     []*http.Request
}

func newTarget(t testing.TB, id string, script ...string) *target {
	t.Helper()
	s := &target{id: id, script: script}
	s.listener = listen(t, s.serve)
	return s
}

// listen accepts connections until the test ends, and hands each to serve in a goroutine of its own.
func listen(t testing.TB, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

func (s *target) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.seen = append(s.seen, req)
		answer := ordinary
		if len(s.script) > 0 {
			answer = s.script[0]
			if len(s.script) > 1 {
				s.script = s.script[1:]
			}
		}
		if answer == ordinary {
			answer = "HTTP/1.1 200 x\r\nSign: s\r\nId: " + req.Header.Get("Id") + "\r\nContent-Length: 4\r\n\r\nfrom"
		}
		s.mu.Unlock()
		switch answer {
		case closeConnection:
			return
		case crashTarget:
			s.listener.Close()
			return
		case noAnswer:
			_, _ = io.Copy(io.Discard, r)
			return
		}
		if strings.HasPrefix(answer, late) {
			answer += "HTTP/1.1 200 x\r\nSign: s\r\nId: " + req.Header.Get("Id") + "\r\nContent-Length: 4\r\n\r\nfrom"
		}
		if _, err := io.WriteString(c, answer); err != nil || answer == incomplete {
			return
		}
	}
}

// next replaces the script.
func (s *target) next(script ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

func (s *target) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func (s *target) entry(service string) fulmarcatalog.Target {
	return fulmarcatalog.Target{ID: s.id, Born: 1, Service: service, Address: s.listener.Addr().String(), DC: "a", Slots: 3}
}

type fixture struct {
	forwarder *fulmarforwarder.Forwarder
	deps      fulmarforwarder.Deps
	over      func(*fulmarview.Holder) *fulmarforwarder.Forwarder // forwarder with another holder of views
	views     *fulmarview.Holder
	rule      fulmarallowance.Rule
}

type noMetrics struct{}

func (noMetrics) Served(string, string, time.Duration) {}
func (noMetrics) Count(string)                         {}

// openGate admits every request.
type openGate struct{}

func (openGate) Admit(context.Context, fulmarpermit.Request) (time.Duration, bool) { return 0, true }

type noLoads struct{}

func (noLoads) Note(string, int) {}

// start returns a forwarder in front of the targets. All of them serve "free", which has no keys; the first one also owns
// all keys of "keyed".
func start(t testing.TB, idempotent bool, targets ...*target) *fixture {
	t.Helper()
	return startWithMargin(t, time.Millisecond, idempotent, targets...)
}

// startWithMargin is start with a time to wait for the reset of a new connection.
func startWithMargin(t testing.TB, margin time.Duration, idempotent bool, targets ...*target) *fixture {
	t.Helper()
	kind := fulmarroute.AtMostOnce
	if idempotent {
		kind = fulmarroute.Idempotent
	}
	routes, err := fulmarroute.New(fulmarroute.Config{
		Version:  1,
		Services: []fulmarroute.Service{{Name: "free", Health: "/health"}, {Name: "keyed", Keyed: true, Health: "/health"}},
		Routes: []fulmarroute.Route{
			{
				Name: "f", Host: "h", Prefix: "/f/", Kind: kind, Timeout: 400 * time.Millisecond,
				LatencyObjective: 200 * time.Millisecond, Attempts: 2, Parts: []fulmarroute.Part{{Service: "free", Weight: 1}},
			},
			{
				Name: "k", Host: "h", Prefix: "/k/", Kind: kind, Timeout: 400 * time.Millisecond,
				LatencyObjective: 200 * time.Millisecond, Attempts: 2, Parts: []fulmarroute.Part{{Service: "keyed", Weight: 1}},
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{views: fulmarview.New(), rule: fulmarallowance.Rule{Ratio: 1, FixedRetries: 10, Window: 10 * time.Second}}
	list := make([]fulmarcatalog.Target, 0, len(targets)+1)
	for _, s := range targets {
		list = append(list, s.entry("free"))
	}
	owner := targets[0].entry("keyed")
	owner.ID = "owner"
	f.views.Update(func(v *fulmarview.View) {
		v.Routes, v.Catalog = routes, fulmarcatalog.New(append(list, owner))
		v.Owners = map[string]fulmarview.Spans{"keyed": {{From: 0, To: fulmarrange.MaxKey, Target: "owner", Ready: true}}}
	})
	pool := fulmarlink.New(fulmarlink.Settings{
		DialTimeout: time.Second, AcceptMargin: margin, AckTimeout: time.Second, IdleTimeout: time.Minute, BodyLimit: 1 << 20, RequestIDHeader: names.RequestID,
	})
	t.Cleanup(pool.Close)
	f.over = func(views *fulmarview.Holder) *fulmarforwarder.Forwarder {
		d := f.deps
		d.Views = views
		return fulmarforwarder.New(d)
	}
	f.deps = fulmarforwarder.Deps{
		HeaderNames: names, ID: "d", DC: "a", Views: f.views, Pool: pool, Balancer: fulmarbalancer.New(1, rand.NewPCG(1, 2)), Limits: fulmarlimit.New(), Notices: fulmarnotice.New(), Crashes: fulmarcrash.New(), Gate: openGate{},
		Splitter: fulmarroute.NewSplitter(), RetryBudget: fulmarallowance.New(f.rule), Hedger: fulmarhedge.New(fulmarhedge.Policy{}), Loads: noLoads{}, Metrics: noMetrics{},
		Log: slog.New(slog.DiscardHandler), Now: time.Now, Clock: time.Now, DrainTime: func() time.Duration { return time.Second }, EvacuationTime: func() time.Duration { return time.Second },
	}
	f.forwarder = fulmarforwarder.New(f.deps)
	return f
}

// request returns a request; headers are pairs of name and value.
func request(t *testing.T, path, body string, headers ...string) *fulmarhttpserver.Request {
	t.Helper()
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + body)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "one")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	payload, err := fulmarbody.Read(r.Body, int64(len(body)))
	if err != nil {
		t.Fatal(err)
	}
	return &fulmarhttpserver.Request{Request: r, Payload: payload, ReceivedAt: time.Now(), RemoteAddress: "caller"}
}

func expectStatus(g Gomega, a *fulmarhttpserver.Answer, status int) {
	g.Expect(a).NotTo(BeNil())
	g.Expect(a.Status).To(Equal(status), string(a.Body))
}

// sends returns the number of requests that the targets received.
func sends(targets ...*target) int {
	n := 0
	for _, s := range targets {
		n += len(s.requests())
	}
	return n
}

// Guards against requests that are executed twice, refusals of requests that may have been executed, and answers that
// are incomplete or not the target's.
func TestOutcome(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		script     []string // of both targets
		status     int
		sends      int
	}{
		{"answer", false, nil, 200, 1},
		{"failure of the target is returned", false, []string{failed}, 500, 1},
		{"not idempotent, connection ends", false, []string{closeConnection}, 502, 1},
		{"not idempotent, answer cut short", false, []string{incomplete}, 502, 1},
		{"not idempotent, answer without a signature", false, []string{unsigned}, 502, 1},
		{"not idempotent, no answer", false, []string{noAnswer}, 504, 1},
		{"not idempotent, rejected everywhere", false, []string{notRun}, 503, 2},
		{"not idempotent, other targets at the addresses", false, []string{misdirected}, 503, 2},
		{"idempotent, connection ends everywhere", true, []string{closeConnection}, 502, 2},
		{"idempotent, answer without a signature", true, []string{unsigned}, 502, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x, y := newTarget(t, "x", c.script...), newTarget(t, "y", c.script...)
			f := start(t, c.idempotent, x, y)
			a := f.forwarder.Serve(t.Context(), request(t, "/f/1", "body"))
			expectStatus(g, a, c.status)
			g.Expect(sends(x, y)).To(Equal(c.sends))
			if c.status == http.StatusServiceUnavailable {
				after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(after).To(BeNumerically(">", 0))
			}
		})
	}
}

// Guards against a status of a target that promises to the caller that the request was not executed, although the target does
// not state that: it may have executed the request.
func TestStatusOfRefusal(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, signature := range []string{"", "Sign: s\r\n"} {
			answer := fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\nId: one\r\n\r\n", status, signature)
			for _, c := range []struct {
				kind       string
				idempotent bool
				sends      int
			}{{"not idempotent", false, 1}, {"idempotent", true, 2}} {
				t.Run(fmt.Sprintf("%d, signed %t, %s", status, signature != "", c.kind), func(t *testing.T) {
					g := NewWithT(t)
					x, y := newTarget(t, "x", answer), newTarget(t, "y", answer)
					f := start(t, c.idempotent, x, y)
					a := f.forwarder.Serve(t.Context(), request(t, "/f/1", "body"))
					expectStatus(g, a, http.StatusBadGateway)
					g.Expect(a.Header).NotTo(HaveKey(names.Signature), "the status is not the target's")
					g.Expect(sends(x, y)).To(Equal(c.sends))
				})
			}
		}
	}
}

// expectNoAnswer checks that an answer of both targets is none: the request may have run, and is sent again only if it is idempotent.
func expectNoAnswer(t *testing.T, name, answer string) {
	t.Helper()
	for _, c := range []struct {
		kind       string
		idempotent bool
		sends      int
	}{{"not idempotent", false, 1}, {"idempotent", true, 2}} {
		t.Run(name+", "+c.kind, func(t *testing.T) {
			g := NewWithT(t)
			x, y := newTarget(t, "x", answer), newTarget(t, "y", answer)
			a := start(t, c.idempotent, x, y).forwarder.Serve(t.Context(), request(t, "/f/1", "body"))
			expectStatus(g, a, http.StatusBadGateway)
			g.Expect(a.Header).NotTo(HaveKey(names.Signature), "the status is not the target's")
			g.Expect(sends(x, y)).To(Equal(c.sends))
		})
	}
}

// Guards against an answer whose status is none: 999 was returned to the caller, and behind 000 the request waited for its
// deadline.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		expectNoAnswer(t, status, "HTTP/1.1 "+status+" x\r\nSign: s\r\nContent-Length: 0\r\nId: one\r\n\r\n")
	}
}

// Guards against an answer with a field whose name is none: it was returned to the caller, with a body that was cut or framed
// otherwise than the target had meant.
func TestFieldNameThatIsNone(t *testing.T) {
	for _, field := range []string{"Bad Name: x", "Bad : x", "Bad\tName: x", "Bad\x01Name: x", "Transfer-Encoding : chunked", "Good: x\r\n Bad: x"} {
		for _, status := range []string{"200", "500"} {
			answer := "HTTP/1.1 " + status + " x\r\nSign: s\r\nId: one\r\n" + field + "\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"
			expectNoAnswer(t, fmt.Sprintf("%q, %s", field, status), answer)
		}
	}
}

// Guards against a rejection that does not name the request, as the bytes of a target in trouble may not, and that is taken for
// the answer to it.
func TestRejectionWithoutID(t *testing.T) {
	for name, answer := range map[string]string{
		"not executed":   strings.Replace(notRun, "Id: one\r\n", "", 1),
		"another target": strings.Replace(misdirected, "Id: one\r\n", "", 1),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x, y := newTarget(t, "x", answer), newTarget(t, "y", answer)
			f := start(t, false, x, y)
			expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "body")), http.StatusBadGateway)
			g.Expect(sends(x, y)).To(Equal(1))
		})
	}
}

// Guards against a refusal that states that the request was not executed although an earlier target may have executed
// it.
func TestRefusedAfterLoss(t *testing.T) {
	for _, c := range []struct{ name, script string }{
		{"rejected by the next target", notRun},
		{"another target at the next address", misdirected},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x, y := newTarget(t, "x", closeConnection, c.script), newTarget(t, "y", closeConnection, c.script)
			f := start(t, true, x, y)
			// The first target closes the connection, and the other one rejects the request.
			first := f.forwarder.Serve(t.Context(), request(t, "/f/1", ""))
			expectStatus(g, first, 502)
			x.next(c.script)
			y.next(closeConnection)
			for range 3 {
				a := f.forwarder.Serve(t.Context(), request(t, "/f/1", ""))
				g.Expect(a.Status).NotTo(Equal(503), string(a.Body))
				y.next(closeConnection)
			}
		})
	}
	t.Run("no owner left", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, true, newTarget(t, "x", closeConnection))
		expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7")), 502)
	})
}

// Guards against a request that fails although it may be sent to another target.
func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		script     string
	}{
		{"not idempotent, rejected", false, notRun},
		{"not idempotent, another target at the address", false, misdirected},
		{"idempotent, connection ends", true, closeConnection},
		{"idempotent, answer cut short", true, incomplete},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			// Target x follows the script, and y answers all requests.
			x, y := newTarget(t, "x", c.script), newTarget(t, "y")
			f := start(t, c.idempotent, x, y)
			for range 4 {
				expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "body")), 200)
			}
			g.Expect(len(y.requests())).To(Equal(4))
		})
	}
}

// Guards against a request that is sent again without the part of its body that the first send has taken from the caller's
// connection: targets executed orders whose bodies ended after 64 KiB.
func TestLongBodySentOnce(t *testing.T) {
	long := strings.Repeat("b", fulmarbody.PrefixLimit+40_000)
	for _, c := range []struct {
		name       string
		idempotent bool
		length     int
		body       string
		script     string
		status     int
		sends      int
	}{
		{"in chunks, rejected", false, -1, long, notRun, 503, 1},
		{"with a length, rejected", false, len(long), long, notRun, 503, 1},
		{"idempotent, rejected", true, -1, long, notRun, 503, 1},
		{"idempotent, broken off", true, -1, long, closeConnection, 502, 1},
		{"in memory, rejected", false, -1, long[:fulmarbody.PrefixLimit], notRun, 200, 2},
		{"in memory, broken off", true, -1, long[:fulmarbody.PrefixLimit], closeConnection, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			// The first target to be asked follows the script, and the second one answers.
			x, y := newTarget(t, "x", c.script), newTarget(t, "y", ordinary)
			f := start(t, c.idempotent, x, y)
			for range 4 {
				before := sends(x, y)
				r := request(t, "/f/1", "")
				payload, err := fulmarbody.Read(strings.NewReader(c.body), int64(c.length))
				g.Expect(err).NotTo(HaveOccurred())
				r.Payload = payload
				a := f.forwarder.Serve(t.Context(), r)
				if len(x.requests()) > 0 {
					expectStatus(g, a, c.status)
					g.Expect(sends(x, y) - before).To(Equal(c.sends))
					return
				}
				expectStatus(g, a, 200)
			}
			g.Fail("target x was never asked")
		})
	}
}

// unboundedMemory admits any number of bytes.
type unboundedMemory struct{}

func (unboundedMemory) Reserve(int64) bool { return true }
func (unboundedMemory) Release(int64)      {}

// Guards against a caller of a long body who is refused although another target has room: 2.7% of the uploads of a day were, whose
// bodies are longer than the prefix that is held of each.
func TestRetainedBodySentAgain(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("b", fulmarbody.PrefixLimit+40_000)
	x, y := newTarget(t, "x", notRun), newTarget(t, "y", ordinary)
	f := start(t, false, x, y)
	for len(x.requests()) == 0 {
		r := request(t, "/f/1", "")
		payload, err := fulmarbody.Read(strings.NewReader(long), -1)
		g.Expect(err).NotTo(HaveOccurred())
		payload.Retain(unboundedMemory{})
		r.Payload = payload
		expectStatus(g, f.forwarder.Serve(t.Context(), r), 200)
	}
	g.Expect(y.requests()).NotTo(BeEmpty())
}

// Guards against a keyed idempotent request that is not retried at its owner after a lost answer: while the answers of
// a third of the targets were lost for 4 s, a fifth of all requests ended with 502 after a single send.
func TestRepeatAtOwner(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		script     []string
		status     int
		sends      int
	}{
		{"connection ends", true, []string{closeConnection, ordinary}, 200, 2},
		{"answer cut short", true, []string{incomplete, ordinary}, 200, 2},
		{"no more than the route permits", true, []string{closeConnection}, 502, 2},
		{"not idempotent", false, []string{closeConnection}, 502, 1},
		{"rejected by the owner", true, []string{notRun}, 503, 1},
		{"rejected by an owner with a free slot", true, []string{notRunWithRoom, ordinary}, 200, 2},
		{"rejected by an owner with a free slot, not idempotent", false, []string{notRunWithRoom, ordinary}, 200, 2},
		{"rejected by an owner whose queue is full", true, []string{notRunFull, ordinary}, 503, 1},
		{"rejected by an owner with a free slot again and again", true, []string{notRunWithRoom}, 503, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x := newTarget(t, "x", c.script...)
			f := start(t, c.idempotent, x)
			expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7")), c.status)
			g.Expect(sends(x)).To(Equal(c.sends))
		})
	}
}

// chosen is a Chooser that always chooses the same target.
type chosen struct {
	target  string
	sharing []string
}

func (c *chosen) RecordSharing(service string) { c.sharing = append(c.sharing, service) }
func (c *chosen) Choose(context.Context, string) (string, bool) {
	return c.target, c.target != ""
}

// Guards against daemons that ignore the choice of the fleet, and against requests to a target that must get none, as the leader's
// choice may be older than what the daemon knows.
func TestChosenTarget(t *testing.T) {
	for _, c := range []struct {
		name, target, want string
	}{
		{"usable", "y", "y"}, {"leaving", "leaving", "x"}, {"unknown", "z", "x"}, {"none", "", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x, y, leaving := newTarget(t, "x"), newTarget(t, "y"), newTarget(t, "leaving")
			f := start(t, true, x, y, leaving)
			for _, other := range []string{"y", "leaving"} {
				f.deps.Balancer.RecordFailure(time.Now(), other)
			}
			f.deps.Notices.RecordLeaving(leaving.entry("free").Incarnation(), time.Now())
			f.deps.Chooser = &chosen{target: c.target}
			expectStatus(g, fulmarforwarder.New(f.deps).Serve(t.Context(), request(t, "/f/1", "")), 200)
			for _, s := range []*target{x, y, leaving} {
				want := 0
				if s.id == c.want {
					want = 1
				}
				g.Expect(sends(s)).To(Equal(want), s.id)
			}
		})
	}
}

// Guards against deployments that pay for choices of the fleet although each daemon alone chooses as well: the targets report
// that they share their machines, or the choice stays with the daemon. Keys have owners.
func TestSharingTargets(t *testing.T) {
	for _, c := range []struct {
		name, path, load string
		want             []string
	}{
		{"shared machines", "/f/1", "1,0,3,300", []string{"free"}},
		{"own machines", "/f/1", "1,0,3", nil},
		{"with keys", "/k/1", "1,0,3,300", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x := newTarget(t, "x", "HTTP/1.1 200 x\r\nSign: s\r\nId: one\r\nLoad: "+c.load+"\r\nContent-Length: 0\r\n\r\n")
			f := start(t, true, x)
			chooser := &chosen{}
			f.deps.Chooser = chooser
			expectStatus(g, fulmarforwarder.New(f.deps).Serve(t.Context(), request(t, c.path, "", "Key", "7")), 200)
			g.Expect(chooser.sharing).To(Equal(c.want))
		})
	}
}

// Guards against a target without answers whose requests are missing from its response time samples.
func TestAbandoned(t *testing.T) {
	g := NewWithT(t)
	f := start(t, true, newTarget(t, "x", noAnswer))
	expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7")), 504)
	sample := f.deps.Balancer.TakeSamples()["owner"]
	g.Expect(sample.Abandoned).To(Equal(1))
	g.Expect(sample.AbandonedTime).To(BeNumerically(">=", 350*time.Millisecond))
}

// Guards against a target that executes a request addressed to another target, works longer than the caller waits, or
// receives a modified request.
func TestForwarded(t *testing.T) {
	g := NewWithT(t)
	x := newTarget(t, "x")
	f := start(t, false, x)
	expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1?q=%2f", "body", "Left", "250", "Other", "o", "Connection", "Gone", "Gone", "1")), 200)
	r := x.requests()[0]
	g.Expect(r.Header.Get("Target")).To(Equal("x"))
	left, err := strconv.Atoi(r.Header.Get("Left"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 250)))
	// The caller's own deadline lies beyond the route's timeout of 400 ms, so that it must not be passed on as it is.
	expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "body", "Left", "5000")), 200)
	left, err = strconv.Atoi(x.requests()[1].Header.Get("Left"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 400)))
	g.Expect(r.RequestURI).To(Equal("/f/1?q=%2f"))
	g.Expect(r.Header.Get("Id")).To(Equal("one"))
	g.Expect(r.Header.Get("Other")).To(Equal("o"))
	g.Expect(r.Header).NotTo(HaveKey("Gone"))
}

// Guards against the late answer to an earlier request being returned for the next request of the connection.
func TestLateAnswer(t *testing.T) {
	g := NewWithT(t)
	f := start(t, false, newTarget(t, "x", late))
	a := f.forwarder.Serve(t.Context(), request(t, "/f/1", ""))
	expectStatus(g, a, 200)
	g.Expect(string(a.Body)).To(Equal("from"))
}

// Guards against a request that is not idempotent and fails because the target has closed the pooled connection.
func TestClosedConnection(t *testing.T) {
	g := NewWithT(t)
	x := newTarget(t, "x", "HTTP/1.1 200 x\r\nSign: s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	f := start(t, false, x)
	for range 5 {
		expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), 200)
	}
}

// Guards against keyed requests to a target that does not own the key, and against requests with an invalid key.
func TestKeys(t *testing.T) {
	x, y := newTarget(t, "x"), newTarget(t, "y")
	f := start(t, false, x, y)
	for _, c := range []struct {
		key    string
		status int
	}{{"0", 200}, {"65535", 200}, {"65536", 400}, {"-1", 400}, {"", 400}, {"a", 400}} {
		t.Run("key "+c.key, func(t *testing.T) {
			g := NewWithT(t)
			expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", c.key)), c.status)
		})
	}
	NewWithT(t).Expect(y.requests()).To(BeEmpty())
}

// Guards against a request without an id that is sent: its answer cannot be told from a late one to another request, and targets
// reject it in any case.
func TestRequestWithoutID(t *testing.T) {
	g := NewWithT(t)
	x := newTarget(t, "x")
	f := start(t, true, x)
	r := request(t, "/f/1", "body")
	r.Header.Del(names.RequestID)
	expectStatus(g, f.forwarder.Serve(t.Context(), r), http.StatusBadRequest)
	g.Expect(x.requests()).To(BeEmpty())
}

// Guards against a request that reaches its target without its id, or with several ones, so that its answer is not recognised.
func TestIDForwarded(t *testing.T) {
	for name, change := range map[string]func(http.Header){
		"the id is named in Connection": func(h http.Header) { h.Set("Connection", names.RequestID) },
		"a second id":                   func(h http.Header) { h.Add(names.RequestID, "two") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x := newTarget(t, "x")
			f := start(t, false, x)
			r := request(t, "/f/1", "body")
			change(r.Header)
			expectStatus(g, f.forwarder.Serve(t.Context(), r), http.StatusOK)
			g.Expect(x.requests()[0].Header.Values(names.RequestID)).To(Equal([]string{"one"}))
		})
	}
}

// Guards against a request that waits until its deadline for a key without an owner.
func TestNoOwner(t *testing.T) {
	g := NewWithT(t)
	f := start(t, true, newTarget(t, "x"))
	f.views.Update(func(v *fulmarview.View) { v.Owners = nil })
	began := time.Now()
	expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7")), 503)
	g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
}

// Guards against a daemon that answers 404 before it has received the routes.
func TestNotReady(t *testing.T) {
	g := NewWithT(t)
	f := start(t, true, newTarget(t, "x"))
	expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/other", "")), 404)
	none := fulmarforwarder.New(fulmarforwarder.Deps{
		HeaderNames: names, Views: fulmarview.New(), Limits: fulmarlimit.New(), Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler), Now: time.Now, Clock: time.Now,
	})
	expectStatus(g, none.Serve(t.Context(), request(t, "/f/1", "")), 503)
}

// Guards against requests that are held although nothing can serve them: while no configuration was in force for a whole
// day, each waited 400 ms for its refusal.
func TestRefusedAtOnce(t *testing.T) {
	t.Run("no configuration long after the start", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := fulmarforwarder.New(fulmarforwarder.Deps{
				HeaderNames: names, Views: fulmarview.New(), Limits: fulmarlimit.New(), Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler), Now: time.Now, Clock: time.Now,
			})
			time.Sleep(time.Minute)
			began := time.Now()
			expectStatus(g, f.Serve(t.Context(), request(t, "/f/1", "")), 503)
			g.Expect(time.Since(began)).To(BeZero())
		})
	})
	t.Run("keyed service without a target", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, true, newTarget(t, "x"))
		f.views.Update(func(v *fulmarview.View) { v.Owners, v.Catalog = nil, fulmarcatalog.New(nil) })
		a := f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7"))
		expectStatus(g, a, 503)
		g.Expect(string(a.Body)).To(Equal("no-target"), "it does not wait for an owner")
	})
}

// Guards against requests that a daemon takes shortly before its exit and then gives up: a download that arrived 4.9 s
// after SIGTERM was broken off 0.3 s later.
func TestRefusedBeforeExit(t *testing.T) {
	x := newTarget(t, "x")
	f := start(t, false, x)
	for _, c := range []struct {
		name          string
		end           time.Duration // from now; the route's timeout is 400 ms
		status, sends int
	}{
		{"ends in time", time.Second, 200, 1},
		{"may last longer", 300 * time.Millisecond, 503, 0},
		{"end has passed", -time.Second, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := f.deps
			end := time.Now().Add(c.end)
			d.LatestEnd = func() time.Time { return end }
			before := sends(x)
			expectStatus(g, fulmarforwarder.New(d).Serve(t.Context(), request(t, "/f/1", "body")), c.status)
			g.Expect(sends(x) - before).To(Equal(c.sends))
		})
	}
}

// Guards against requests that are refused although the daemon is about to receive the configuration.
func TestStarting(t *testing.T) {
	g := NewWithT(t)
	f := start(t, true, newTarget(t, "x"))
	known := f.views.Get()
	starting := fulmarview.New()
	r := f.over(starting)
	time.AfterFunc(50*time.Millisecond, func() { starting.Update(func(v *fulmarview.View) { *v = *known }) })
	expectStatus(g, r.Serve(t.Context(), request(t, "/f/1", "")), 200)
}

// Guards against further sends for a caller that has closed its connection.
func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	x, y := newTarget(t, "x", noAnswer), newTarget(t, "y", noAnswer)
	f := start(t, true, x, y)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.forwarder.Serve(ctx, request(t, "/f/1", ""))
	}()
	g.Eventually(func() int { return sends(x, y) }).Should(Equal(1))
	cancel()
	g.Eventually(done, "200ms").Should(BeClosed())
	g.Expect(sends(x, y)).To(Equal(1))
}

// Guards against requests that fail, or wait for another owner, because the owner of their key accepts no more
// connections. They have not run, so their callers may try again.
func TestOwnerWithoutRoom(t *testing.T) {
	withoutRoom := func(t *testing.T) *fixture {
		return startWithMargin(t, 2*time.Second, false, &target{id: "x", listener: listen(t, func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
			c.Close()
		})})
	}
	expectFull := func(t *testing.T, f *fixture) {
		g := NewWithT(t)
		a := f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7"))
		expectStatus(g, a, 503)
		g.Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(string(a.Body)).To(Equal("full"), "it does not wait for another owner")
	}
	t.Run("after a reset", func(t *testing.T) {
		f := withoutRoom(t)
		f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7")) // the daemon does not know of the limit yet
		for range 5 {
			expectFull(t, f)
		}
	})
	// Each daemon of a large fleet has a first connection to the owner of a hot key: at 145 daemons 408 requests of a day
	// without faults ended with 502, which promises nothing.
	t.Run("first connection to the owner of a hot key", func(t *testing.T) {
		for range 20 {
			f := withoutRoom(t)
			f.views.Update(func(v *fulmarview.View) {
				v.Owners = map[string]fulmarview.Spans{"keyed": {{From: 7, To: 7, Target: "owner", Ready: true}}}
			})
			expectFull(t, f)
		}
	})
}
