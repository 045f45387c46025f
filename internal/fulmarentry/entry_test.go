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

var _ = Describe("validation", func() {
	// Guards against passing on requests that can't be routed, and against refusals without a reason.
	DescribeTable("refuses with a reason", func(service string, edit func(*http.Request), body string, reason fulmaroutcome.Reason) {
		n := alone(serve)
		expectRefused(do(n.request(service, strings.NewReader(body), edit)), notRun, reason)
		Expect(n.refused[reason]).To(Equal(1))
	},
		Entry("service", "none", func(*http.Request) {}, "", fulmaroutcome.UnknownService),
		Entry("no key", "desk", with(fulmaroutcome.HeaderKey, ""), "", fulmaroutcome.Malformed),
		Entry("long key", "desk", with(fulmaroutcome.HeaderKey, strings.Repeat("k", 257)), "", fulmaroutcome.Malformed),
		Entry("no group", "desk", with(fulmaroutcome.HeaderGroup, ""), "", fulmaroutcome.Malformed),
		Entry("group", "desk", with(fulmaroutcome.HeaderGroup, "none"), "", fulmaroutcome.UnknownGroup),
		Entry("no id", "desk", with(fulmaroutcome.HeaderRequestID, ""), "", fulmaroutcome.IDMissing),
		Entry("id version", "desk", with(fulmaroutcome.HeaderRequestID, "6ba7b810-9dad-41d1-80b4-00c04fd430c8"), "", fulmaroutcome.Malformed),
		Entry("timeout", "desk", with(fulmaroutcome.HeaderTimeout, "-1s"), "", fulmaroutcome.Malformed),
		Entry("attempt", "desk", with(fulmaroutcome.HeaderAttempt, "0"), "", fulmaroutcome.Malformed),
		Entry("announced body", "desk", with(fulmaroutcome.HeaderGroup, "small"), strings.Repeat("x", 101), fulmaroutcome.TooLarge),
		Entry("chunked body", "desk", func(r *http.Request) {
			r.Header.Set(fulmaroutcome.HeaderGroup, "small")
			r.ContentLength = -1
		}, strings.Repeat("x", 101), fulmaroutcome.TooLarge),
	)

	// Guards against work on an instance that is out of date or leaving.
	It("refuses callers while not accepting", func() {
		n := alone(serve)
		n.refusal = fulmaroutcome.Draining
		expectRefused(do(n.request("board", nil)), notRun, fulmaroutcome.Draining)
		expectRefused(do(n.request("desk", nil)), unknown, fulmaroutcome.DispatcherLost)
		expectRefused(do(n.request("desk", nil, with(fulmaroutcome.HeaderAttempt, "1"))), notRun, fulmaroutcome.Draining)
	})
})

var _ = Describe("hops", func() {
	// Guards against losing parts of a request or its answer on the way.
	It("passes requests and answers on whole", func() {
		a, _ := pair(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			body, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("question"))
			Expect(r.URL.RequestURI()).To(Equal("/desk/x?y=1"))
			Expect(r.Header.Get("Colour")).To(Equal("red"))
			left, err := strconv.Atoi(r.Header.Get(fulmaroutcome.HeaderDeadline))
			Expect(err).NotTo(HaveOccurred())
			Expect(left).To(BeNumerically("~", 2900, 100))
			w.Header().Set("Colour", "blue")
			w.Header().Set(fulmaroutcome.HeaderOutcome, "served")
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "done")
		})
		got := do(a.request("desk", strings.NewReader("question"), with("Colour", "red"), with(fulmaroutcome.HeaderTimeout, "3s")))
		expectServed(got)
		Expect(got.StatusCode).To(Equal(http.StatusTeapot))
		Expect(got.Header.Get("Colour")).To(Equal("blue"))
		Expect(a.served).To(Equal(1))
	})

	// Guards against requests from senders that don't have the key, replayed late, or altered on the way.
	It("checks the proof of peers", func() {
		_, b := pair(serve)
		send := func(key string, at time.Time, edit func(*http.Request)) int {
			r, _ := http.NewRequest(http.MethodPost, b.peers.URL+"/desk/x", nil)
			r.Header.Set(fulmaroutcome.HeaderTarget, "desk-1")
			fulmarentry.Sign(r, []byte(key), at)
			edit(r)
			return do(r).StatusCode
		}
		same := func(*http.Request) {}
		Expect(send("secret", time.Now(), same)).To(Equal(200))
		Expect(send("other", time.Now(), same)).To(Equal(401))
		Expect(send("secret", time.Now().Add(-31*time.Second), same)).To(Equal(401))
		Expect(send("secret", time.Now().Add(31*time.Second), same)).To(Equal(401))
		Expect(send("secret", time.Now(), with(fulmaroutcome.HeaderTarget, "desk-2"))).To(Equal(401))
		Expect(send("secret", time.Now(), func(r *http.Request) { r.URL.Path = "/desk/z" })).To(Equal(401))
	})

	// Guards against truncated answers that look complete (I3).
	It("aborts the caller's connection when a body breaks off on the way", func() {
		a, _ := pair(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(fulmaroutcome.HeaderOutcome, "served")
			_, _ = io.WriteString(w, strings.Repeat("x", 100000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		Expect(do(a.request("board", nil)).err).To(HaveOccurred())
		Expect(a.retried).To(BeEmpty(), "a byte was passed on")
	})

	// Guards against buffering whole bodies.
	It("passes large bodies under bounded memory", func() {
		const size = 64 << 20
		a, _ := pair(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			w.Header().Set(fulmaroutcome.HeaderOutcome, "served")
			_, _ = io.Copy(w, io.LimitReader(zeros{}, n))
		})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		resp, err := http.DefaultTransport.RoundTrip(a.request("desk", io.LimitReader(zeros{}, size), with(fulmaroutcome.HeaderTimeout, "30s")))
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

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("retries", func() {
	// Guards against refusing callers while a target changes its dispatcher.
	It("learns the holder from a not-holder answer", func() {
		a, b := pair(nil)
		b.dispatcher = nil
		c := newNode("c", plenty())
		c.dispatcher = http.HandlerFunc(serve)
		b.holder = c.member
		a.members["c"] = c.member
		expectServed(do(a.request("desk", strings.NewReader("body"))))
		Expect(a.retries(fulmaroutcome.NotHolder)).To(Equal(1))
	})

	// Guards against failing requests that did not start, and against running others twice.
	DescribeTable("retries what did not start or is idempotent", func(service string, o fulmaroutcome.Outcome, reason, label fulmaroutcome.Reason, retried bool) {
		n := alone(answers(refuse(o, reason), refuse(o, reason), serve))
		got := do(n.request(service, strings.NewReader("body")))
		if retried {
			expectServed(got)
			Expect(n.retries(label)).To(Equal(2))
			return
		}
		expectRefused(got, o, reason)
		Expect(n.retried).To(BeEmpty())
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

	// Guards against a not-run answer for a request whose earlier attempt may run (I4).
	It("asks again after a broken hop and does not call it not run afterwards", func() {
		a, _ := pair(answers(abort, refuse(notRun, fulmaroutcome.QueueFull)))
		first := with(fulmaroutcome.HeaderAttempt, "1")
		expectRefused(do(a.request("desk", strings.NewReader("body"), first)), unknown, fulmaroutcome.DispatcherLost)
		Expect(a.retries(fulmaroutcome.DispatcherLost)).To(Equal(1))
		a, _ = pair(answers(abort, serve))
		expectServed(do(a.request("desk", strings.NewReader("body"), first)))
	})

	// Guards against waiting until the deadline for a peer that was frozen or cut off.
	It("gives up a hop when the peer is found down", func() {
		down := make(chan struct{})
		a, _ := pair(answers(func(_ http.ResponseWriter, r *http.Request) {
			// The server notices a disconnect only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			close(down)
			<-r.Context().Done()
		}, serve))
		a.down = down
		expectServed(do(a.request("desk", strings.NewReader("body"))))
		Expect(a.retries(fulmaroutcome.DispatcherLost)).To(Equal(1))
	})

	// Guards against trusting the refusal of a dispatcher that was paused past the deadline.
	It("reports a not-run answer after the deadline as unknown", func() {
		n := alone(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			fulmarreply.Refuse(w, notRun, fulmaroutcome.QueueFull, "")
		})
		for _, service := range []string{"board", "desk"} {
			expectRefused(do(n.request(service, nil, with(fulmaroutcome.HeaderTimeout, "30ms"))), unknown, fulmaroutcome.Late)
		}
	})

	// Guards against calling a request not run that an earlier attempt of its caller may have run.
	It("applies the attempt rule when no dispatcher could be asked", func() {
		checkLeaks()
		n := newNode("a", plenty())
		short := with(fulmaroutcome.HeaderTimeout, "50ms")
		expectRefused(do(n.request("board", nil, short)), notRun, fulmaroutcome.NoDispatcher)
		expectRefused(do(n.request("desk", nil, short)), unknown, fulmaroutcome.DispatcherLost)
		expectRefused(do(n.request("desk", nil, short, with(fulmaroutcome.HeaderAttempt, "2"))), unknown, fulmaroutcome.DispatcherLost)
		expectRefused(do(n.request("desk", nil, short, with(fulmaroutcome.HeaderAttempt, "1"))), notRun, fulmaroutcome.NoDispatcher)
	})

	// Guards against retries that multiply the load of a group.
	It("stops when the budget is spent", func() {
		checkLeaks()
		n := newNode("a", fulmarbudget.New(0, 0, rand.NewPCG(1, 2)))
		var asked atomic.Int32
		n.dispatcher = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			fulmarreply.Refuse(w, notRun, fulmaroutcome.Shed, "")
		})
		expectRefused(do(n.request("desk", nil)), notRun, fulmaroutcome.Budget)
		Expect(asked.Load()).To(BeEquivalentTo(1))
	})

	// Guards against sending the second half of a large body as if it were the whole.
	It("retries a large body only while it is whole", func() {
		large := strings.Repeat("x", 1<<20)
		var got atomic.Int64
		count := func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			got.Store(n)
			serve(w, r)
		}
		a, _ := pair(answers(refuse(notRun, fulmaroutcome.Moving), count))
		expectServed(do(a.request("desk", strings.NewReader(large))))
		Expect(got.Load()).To(BeEquivalentTo(len(large)))
		a, _ = pair(answers(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
			fulmarreply.Refuse(w, notRun, fulmaroutcome.Shed, "")
		}, serve))
		expectRefused(do(a.request("desk", strings.NewReader(large))), notRun, fulmaroutcome.Shed)
	})
})
