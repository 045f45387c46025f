package fulmarentry_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarentry"
	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbudget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// In these tests the service board is idempotent, and desk runs each request id at most once.

var _ = Describe("validation", func() {
	// Guards against forwarding requests that cannot be routed, and against refusals
	// without a reason.
	DescribeTable("refuses with a reason", func(service string, edit func(*http.Request), body string, reason fulmaroutcome.Reason) {
		n := newSingleInstance(servedHandler)
		expectRefused(do(n.request(service, strings.NewReader(body), edit)), notRun, reason)
		Expect(n.refusalCounts[reason]).To(Equal(1))
	},
		Entry("service", "none", func(*http.Request) {}, "", fulmaroutcome.UnknownService),
		Entry("no key", "desk", withHeader(fulmaroutcome.HeaderKey, ""), "", fulmaroutcome.Malformed),
		Entry("key too long", "desk", withHeader(fulmaroutcome.HeaderKey, strings.Repeat("k", 257)), "", fulmaroutcome.Malformed),
		Entry("no group", "desk", withHeader(fulmaroutcome.HeaderGroup, ""), "", fulmaroutcome.Malformed),
		Entry("group", "desk", withHeader(fulmaroutcome.HeaderGroup, "none"), "", fulmaroutcome.UnknownGroup),
		Entry("no id", "desk", withHeader(fulmaroutcome.HeaderRequestID, ""), "", fulmaroutcome.IDMissing),
		Entry("id not of version 7", "desk", withHeader(fulmaroutcome.HeaderRequestID, "6ba7b810-9dad-41d1-80b4-00c04fd430c8"), "", fulmaroutcome.Malformed),
		Entry("timeout", "desk", withHeader(fulmaroutcome.HeaderTimeout, "-1s"), "", fulmaroutcome.Malformed),
		Entry("attempt", "desk", withHeader(fulmaroutcome.HeaderAttempt, "0"), "", fulmaroutcome.Malformed),
		Entry("body too large by its announced length", "desk", withHeader(fulmaroutcome.HeaderGroup, "small"), strings.Repeat("x", 101), fulmaroutcome.TooLarge),
		Entry("chunked body too large", "desk", func(r *http.Request) {
			r.Header.Set(fulmaroutcome.HeaderGroup, "small")
			r.ContentLength = -1
		}, strings.Repeat("x", 101), fulmaroutcome.TooLarge),
	)

	// Guards against serving callers on an instance whose state is stale or that is
	// draining.
	It("refuses callers while the router does not accept them", func() {
		n := newSingleInstance(servedHandler)
		n.refusalReason = fulmaroutcome.Draining
		expectRefused(do(n.request("board", nil)), notRun, fulmaroutcome.Draining)
		expectRefused(do(n.request("desk", nil)), unknown, fulmaroutcome.DispatcherLost)
		expectRefused(do(n.request("desk", nil, withHeader(fulmaroutcome.HeaderAttempt, "1"))), notRun, fulmaroutcome.Draining)
	})
})

var _ = Describe("hops", func() {
	// Guards against losing parts of a request or its response on a hop.
	It("forwards complete requests and responses", func() {
		a, _ := newInstancePair(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			body, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("question"))
			Expect(r.URL.RequestURI()).To(Equal("/desk/x?y=1"))
			Expect(r.Header.Get("Colour")).To(Equal("red"))
			timeoutMS, err := strconv.Atoi(r.Header.Get(fulmaroutcome.HeaderDeadline))
			Expect(err).NotTo(HaveOccurred())
			Expect(timeoutMS).To(BeNumerically("~", 2900, 100))
			w.Header().Set("Colour", "blue")
			w.Header().Set(fulmaroutcome.HeaderOutcome, "served")
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "done")
		})
		got := do(a.request("desk", strings.NewReader("question"), withHeader("Colour", "red"), withHeader(fulmaroutcome.HeaderTimeout, "3s")))
		expectServed(got)
		Expect(got.StatusCode).To(Equal(http.StatusTeapot))
		Expect(got.Header.Get("Colour")).To(Equal("blue"))
		Expect(a.servedCount).To(Equal(1))
	})

	// Guards against requests of senders without the key, and against requests that were
	// replayed late or modified in transit.
	It("authenticates requests of peers", func() {
		_, b := newInstancePair(servedHandler)
		send := func(key string, at time.Time, edit func(*http.Request)) int {
			r, _ := http.NewRequest(http.MethodPost, b.peers.URL+"/desk/x", nil)
			r.Header.Set(fulmaroutcome.HeaderTarget, "desk-1")
			fulmarentry.Sign(r, []byte(key), at)
			edit(r)
			return do(r).StatusCode
		}
		unchanged := func(*http.Request) {}
		Expect(send("secret", time.Now(), unchanged)).To(Equal(200))
		Expect(send("other", time.Now(), unchanged)).To(Equal(401))
		Expect(send("secret", time.Now().Add(-31*time.Second), unchanged)).To(Equal(401))
		Expect(send("secret", time.Now().Add(31*time.Second), unchanged)).To(Equal(401))
		Expect(send("secret", time.Now(), withHeader(fulmaroutcome.HeaderTarget, "desk-2"))).To(Equal(401))
		Expect(send("secret", time.Now(), func(r *http.Request) { r.URL.Path = "/desk/z" })).To(Equal(401))
	})

	// Guards against relaying a truncated response as a complete one (invariant I3).
	It("aborts the caller's connection when a response of a peer is truncated", func() {
		a, _ := newInstancePair(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(fulmaroutcome.HeaderOutcome, "served")
			_, _ = io.WriteString(w, strings.Repeat("x", 100000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		Expect(do(a.request("board", nil)).err).To(HaveOccurred())
		Expect(a.retryCounts).To(BeEmpty(), "a request must not be retried after a byte was forwarded")
	})

	// Guards against buffering whole bodies.
	It("relays large bodies in bounded memory", func() {
		const size = 64 << 20
		a, _ := newInstancePair(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			w.Header().Set(fulmaroutcome.HeaderOutcome, "served")
			_, _ = io.Copy(w, io.LimitReader(zeros{}, n))
		})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		resp, err := http.DefaultTransport.RoundTrip(a.request("desk", io.LimitReader(zeros{}, size), withHeader(fulmaroutcome.HeaderTimeout, "30s")))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(size)))
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", size/8))
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
})

// zeros is an infinite reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("retries", func() {
	// Guards against refusing callers while a target changes its dispatcher.
	It("learns the holder from a not-holder response", func() {
		a, b := newInstancePair(nil)
		b.dispatcher = nil
		c := newInstance("c", largeBudget())
		c.dispatcher = http.HandlerFunc(servedHandler)
		b.holder = c.member
		a.members["c"] = c.member
		expectServed(do(a.request("desk", strings.NewReader("body"))))
		Expect(a.retries(fulmaroutcome.NotHolder)).To(Equal(1))
	})

	// Guards against failing requests that did not start, and against running a request
	// of an at-most-once service twice. retryReason is unused if the request is not retried.
	DescribeTable("retries requests that did not start or are idempotent", func(service string, o fulmaroutcome.Outcome, reason, retryReason fulmaroutcome.Reason, retried bool) {
		n := newSingleInstance(answerInTurn(refusalHandler(o, reason), refusalHandler(o, reason), servedHandler))
		got := do(n.request(service, strings.NewReader("body")))
		if retried {
			expectServed(got)
			Expect(n.retries(retryReason)).To(Equal(2))
			return
		}
		expectRefused(got, o, reason)
		Expect(n.retryCounts).To(BeEmpty())
	},
		Entry("dial error, at most once", "desk", notRun, fulmaroutcome.Dial, fulmaroutcome.Dial, true),
		Entry("shed, at most once", "desk", notRun, fulmaroutcome.Shed, fulmaroutcome.Shed, true),
		Entry("fenced, at most once", "desk", notRun, fulmaroutcome.Fenced, fulmaroutcome.Fenced, true),
		Entry("moving, at most once", "desk", notRun, fulmaroutcome.Moving, fulmaroutcome.Moving, true),
		Entry("broken connection, idempotent", "board", unknown, fulmaroutcome.TargetLost, fulmaroutcome.TargetLost, true),
		Entry("broken connection, at most once", "desk", unknown, fulmaroutcome.TargetLost, fulmaroutcome.TargetLost, false),
		Entry("before the horizon", "desk", unknown, fulmaroutcome.BeforeHorizon, fulmaroutcome.Moving, false),
		Entry("condemned", "board", notRun, fulmaroutcome.Condemned, fulmaroutcome.Moving, false),
		Entry("full queue", "desk", notRun, fulmaroutcome.QueueFull, fulmaroutcome.Moving, false),
	)

	// Guards against reporting not-run for a request whose earlier attempt may run
	// (invariant I4).
	It("retries after a broken hop and does not report not-run afterwards", func() {
		a, _ := newInstancePair(answerInTurn(abortHandler, refusalHandler(notRun, fulmaroutcome.QueueFull)))
		first := withHeader(fulmaroutcome.HeaderAttempt, "1")
		expectRefused(do(a.request("desk", strings.NewReader("body"), first)), unknown, fulmaroutcome.DispatcherLost)
		Expect(a.retries(fulmaroutcome.DispatcherLost)).To(Equal(1))
		a, _ = newInstancePair(answerInTurn(abortHandler, servedHandler))
		expectServed(do(a.request("desk", strings.NewReader("body"), first)))
	})

	// Guards against waiting until the deadline for a peer that is frozen or unreachable.
	It("cancels the request to a peer that is detected as down", func() {
		down := make(chan struct{})
		a, _ := newInstancePair(answerInTurn(func(_ http.ResponseWriter, r *http.Request) {
			// The server detects a disconnect only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			close(down)
			<-r.Context().Done()
		}, servedHandler))
		a.down = down
		expectServed(do(a.request("desk", strings.NewReader("body"))))
		Expect(a.retries(fulmaroutcome.DispatcherLost)).To(Equal(1))
	})

	// Guards against trusting the refusal of a dispatcher that was paused until after
	// the deadline.
	It("reports a not-run outcome after the deadline as unknown", func() {
		n := newSingleInstance(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			fulmarreply.Refuse(w, notRun, fulmaroutcome.QueueFull, "")
		})
		for _, service := range []string{"board", "desk"} {
			expectRefused(do(n.request(service, nil, withHeader(fulmaroutcome.HeaderTimeout, "30ms"))), unknown, fulmaroutcome.Late)
		}
	})

	// Guards against reporting not-run for a request that the caller may have sent
	// before with the same id.
	It("reports not-run without a dispatcher only if idempotent or sent for the first time", func() {
		checkLeaks()
		n := newInstance("a", largeBudget())
		short := withHeader(fulmaroutcome.HeaderTimeout, "50ms")
		expectRefused(do(n.request("board", nil, short)), notRun, fulmaroutcome.NoDispatcher)
		expectRefused(do(n.request("desk", nil, short)), unknown, fulmaroutcome.DispatcherLost)
		expectRefused(do(n.request("desk", nil, short, withHeader(fulmaroutcome.HeaderAttempt, "2"))), unknown, fulmaroutcome.DispatcherLost)
		expectRefused(do(n.request("desk", nil, short, withHeader(fulmaroutcome.HeaderAttempt, "1"))), notRun, fulmaroutcome.NoDispatcher)
	})

	// Guards against retries that multiply the load of a group.
	It("stops when the retry budget is exhausted", func() {
		checkLeaks()
		n := newInstance("a", fulmarbudget.New(0, 0, rand.NewPCG(1, 2)))
		var calls atomic.Int32
		n.dispatcher = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			fulmarreply.Refuse(w, notRun, fulmaroutcome.Shed, "")
		})
		expectRefused(do(n.request("desk", nil)), notRun, fulmaroutcome.Budget)
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	// Guards against sending the rest of a partly read large body as if it were complete.
	It("retries a request with a large body only if no more than the kept start of the body was read", func() {
		large := strings.Repeat("x", 1<<20)
		var got atomic.Int64
		count := func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			got.Store(n)
			servedHandler(w, r)
		}
		a, _ := newInstancePair(answerInTurn(refusalHandler(notRun, fulmaroutcome.Moving), count))
		expectServed(do(a.request("desk", strings.NewReader(large))))
		Expect(got.Load()).To(BeEquivalentTo(len(large)))
		a, _ = newInstancePair(answerInTurn(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
			fulmarreply.Refuse(w, notRun, fulmaroutcome.Shed, "")
		}, servedHandler))
		expectRefused(do(a.request("desk", strings.NewReader(large))), notRun, fulmaroutcome.Shed)
	})
})
