package fulmardispatch_test

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	notRun  = fulmaroutcome.NotRun
	unknown = fulmaroutcome.Unknown
)

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

var background = context.Background()

var _ = Describe("answers", func() {
	// Guards against relaying a truncated body as a complete one (invariant I3).
	DescribeTable("a truncated body aborts the caller's connection",
		func(idempotent, announced bool) {
			f := newFixture(idempotent, 3)
			f.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) {
				if announced {
					w.Header().Set("Content-Length", "500000")
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 200000))
				panic(http.ErrAbortHandler)
			})
			Expect(f.do(background, call{id: newID()}).err).To(HaveOccurred())
		},
		Entry("idempotent, with a length", true, true),
		Entry("idempotent, chunked", true, false),
		Entry("at most once, with a length", false, true),
		Entry("at most once, chunked", false, false),
	)

	// Guards against reporting a truncated short body as served.
	It("reports a truncated short body as unknown", func() {
		f := newFixture(false, 3)
		f.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		})
		expectRefused(f.do(background, call{id: newID()}), unknown, fulmaroutcome.BodyBroken)
	})

	// Guards against buffering whole bodies of requests or responses.
	DescribeTable("relays large bodies in bounded memory", func(idempotent bool) {
		const size = 64 << 20
		f := newFixture(idempotent, 3)
		f.setTargetHandler(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = io.Copy(w, io.LimitReader(zeros{}, n))
		})
		r := f.request(background, call{id: newID(), timeout: time.Minute, body: io.LimitReader(zeros{}, size)})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		resp, err := f.client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(size)))
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", size/8))
	}, Entry("idempotent", true), Entry("at most once", false))

	// Guards against recording a request that the target refused to run as one that ran.
	DescribeTable("relays a refusal of the target", func(status int, reason fulmaroutcome.Reason) {
		f := newFixture(false, 3)
		f.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(fulmaroutcome.HeaderOutcome, "not-run")
			w.WriteHeader(status)
		})
		id := newID()
		expectRefused(f.do(background, call{id: id}), notRun, reason)
		f.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
		expectServed(f.do(background, call{id: id}), "done")
	}, Entry("fenced", 412, fulmaroutcome.Fenced), Entry("shed", 503, fulmaroutcome.Shed))
})

// blockedWriter is the connection to a caller that does not read until unblock is closed.
type blockedWriter struct {
	*httptest.ResponseRecorder
	once             sync.Once
	writing, unblock chan struct{}
}

func (w *blockedWriter) WriteHeader(status int) {
	w.once.Do(func() { close(w.writing) })
	<-w.unblock
	w.ResponseRecorder.WriteHeader(status)
}

// zeros is an infinite reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("requests that run at most once", func() {
	// Guards against running a duplicate of a request (invariant I5).
	It("gives duplicates in flight the answer of one execution, and replays it later", func() {
		f, g, id := newFixture(false, 3), newGate(), newID()
		f.setTargetHandler(g.serve)
		first := f.start(background, call{id: id})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		second := f.start(background, call{id: id})
		ctx, cancel := context.WithCancel(background)
		third := f.start(ctx, call{id: id})
		cancel()
		Eventually(third).Should(Receive())
		close(g.open)
		expectServed(<-first, "done")
		expectServed(<-second, "done")
		expectServed(f.do(background, call{id: id}), "done")
		Expect(f.executions(id)).To(Equal(1))
	})

	// Guards against running a request again because its response was too long to record.
	It("answers duplicates of a request with a long response as dropped", func() {
		f, id := newFixture(false, 3), newID()
		long := strings.Repeat("x", 10*maxKeptBody)
		f.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
		expectServed(f.do(background, call{id: id}), long)
		expectRefused(f.do(background, call{id: id}), unknown, fulmaroutcome.AnswerDropped)
		Expect(f.executions(id)).To(Equal(1))
	})

	// Guards against canceling a request whose caller disconnected, and against losing
	// its response.
	It("completes a request whose caller has disconnected", func() {
		f, g, id := newFixture(false, 3), newGate(), newID()
		f.setTargetHandler(g.serve)
		ctx, cancel := context.WithCancel(background)
		first := f.start(ctx, call{id: id})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		cancel()
		Expect((<-first).err).To(HaveOccurred())
		close(g.open)
		expectServed(f.do(background, call{id: id}), "done")
		Expect(f.executions(id)).To(Equal(1))
		Expect(g.canceled.Load()).To(BeZero())
	})

	// Guards against running a request again that may have run on a connection that broke.
	It("records a broken connection as unknown and returns its fingerprint when the target is lost", func() {
		f, id := newFixture(false, 3), newID()
		f.setTargetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		expectRefused(f.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		expectRefused(f.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		Expect(f.executions(id)).To(Equal(1))
		Expect(f.d.Lost()).To(HaveLen(1))
	})

	// Guards against a retry by net/http, which would run the request twice.
	It("does not retry when a reused connection breaks", func() {
		f, id := newFixture(false, 3), newID()
		expectServed(f.do(background, call{id: newID()}), "done")
		f.setTargetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		expectRefused(f.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		Expect(f.executions(id)).To(Equal(1))
	})

	// Guards against recording a request that was never sent.
	It("does not record a request that could not be sent", func() {
		f := newFixture(false, 3)
		f.target.Close()
		id := newID()
		expectRefused(f.do(background, call{id: id}), notRun, fulmaroutcome.Dial)
		expectRefused(f.do(background, call{id: id}), notRun, fulmaroutcome.Dial)
	})

	// Guards against running an id that an earlier dispatcher may have run, and against
	// accepting ids whose time is in the future.
	It("refuses ids whose time is before the horizon or ahead of the clock", func() {
		f := newFixture(false, 3)
		id := uuid.Must(uuid.NewV7())
		copy(id[:6], make([]byte, 6))
		expectRefused(f.do(background, call{id: id.String()}), unknown, fulmaroutcome.BeforeHorizon)
		ahead := newID()
		f.clockOffset.Store(int64(-10 * time.Second))
		expectRefused(f.do(background, call{id: ahead}), notRun, fulmaroutcome.IDAhead)
	})

	// Guards against refusing ids after a takeover that no earlier dispatcher can
	// have run, and against running ids that one may have run.
	It("sets the horizon of new records by the last request of other dispatchers", func() {
		f := newFixture(false, 3)
		d, _ := f.dispatcher()
		defer d.Close(fulmaroutcome.NotHolder)
		slot, _ := f.table.Load().Slot(service, key)
		d.SetComplete(time.Now().Add(-time.Second), []int{slot})
		old, fresh := uuid.Must(uuid.NewV7()), newID()
		idTime := time.Now().Add(-900 * time.Millisecond).UnixMilli() // within two skew bounds of the last request of the other dispatcher
		for i := range 6 {
			old[i] = byte(idTime >> (8 * (5 - i)))
		}
		d.Open(9, 3, []int{0, 1, 2, 3})
		front := httptest.NewServer(d)
		defer front.Close()
		first := f.front
		defer func() { f.front = first }()
		f.front = front
		expectRefused(f.do(background, call{id: old.String()}), unknown, fulmaroutcome.BeforeHorizon)
		expectServed(f.do(background, call{id: fresh}), "done")
	})
})

var _ = Describe("refusals", func() {
	// Guards against starting a request that was refused as not-run (invariant I4).
	DescribeTable("refuses a request and removes it from the queue atomically", func(idempotent bool) {
		f := newFixture(idempotent, 1)
		src := rand.New(rand.NewPCG(1, 2))
		const rounds = 400
		refused, ids := 0, []string(nil)
		for range rounds {
			// The end of the first request starts the second while the caller of the
			// second disconnects. The response recorder still shows the outcome.
			g, id := newGate(), newID()
			f.setTargetHandler(g.serve)
			first := f.start(background, call{id: newID(), path: "first"})
			for g.blocked.Load() == 0 {
				runtime.Gosched()
			}
			f.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
			ctx, cancel := context.WithCancel(background)
			w := httptest.NewRecorder()
			var second sync.WaitGroup
			var ended atomic.Bool
			second.Go(func() {
				f.d.ServeHTTP(w, f.request(ctx, call{id: id}))
				ended.Store(true)
			})
			// On a busy machine the request may be refused before it is queued.
			for f.d.Waiting() == 0 && !ended.Load() {
				runtime.Gosched()
			}
			close(g.open)
			for end := time.Now().Add(time.Duration(src.IntN(300)) * time.Microsecond); time.Now().Before(end); {
				runtime.Gosched()
			}
			cancel()
			expectServed(<-first, "done")
			second.Wait()
			if w.Header().Get(fulmaroutcome.HeaderOutcome) == "not-run" {
				refused++
				ids = append(ids, id)
			}
		}
		Expect(refused).To(And(BeNumerically(">", 0), BeNumerically("<", rounds)))
		// A refused request that was started late would have reached the target before
		// this one is answered.
		expectServed(f.do(background, call{id: newID()}), "done")
		for _, id := range ids {
			Expect(f.executions(id)).To(BeZero())
		}
	}, Entry("idempotent", true), Entry("at most once", false))

	// Guards against a queued request that becomes suspect and then runs beside others,
	// and against one that is condemned while queued and then runs.
	It("checks the guard again when a request is dequeued", func() {
		f := newFixture(true, 2)
		gates := map[string]*gate{"/desk/one": newGate(), "/desk/two": newGate(), "/desk/bad": newGate()}
		f.setTargetHandler(func(w http.ResponseWriter, r *http.Request) { gates[r.URL.Path].serve(w, r) })
		blocked := func(path string) func() int32 { return gates[path].blocked.Load }
		// In the first round the queued request becomes suspect and must run alone; in the second it is condemned.
		for round := range 2 {
			f.d.Grant(1, []int{0, 1, 2, 3})
			bad := f.start(background, call{path: "bad"})
			Eventually(blocked("/desk/bad")).Should(BeEquivalentTo(1))
			fingerprints := f.d.Lost()
			Expect((<-bad).reason).To(Equal(string(fulmaroutcome.TargetLost)))
			f.d.Grant(1, []int{0, 1, 2, 3})
			one, two := f.start(background, call{path: "one"}), f.start(background, call{path: "two"})
			Eventually(blocked("/desk/one")).Should(BeEquivalentTo(1))
			Eventually(blocked("/desk/two")).Should(BeEquivalentTo(1))
			bad = f.start(background, call{path: "bad"})
			Eventually(f.d.Waiting).Should(Equal(1))
			for range round + 1 {
				f.guard.RecordLoss(time.Now(), fingerprints)
			}
			close(gates["/desk/one"].open)
			expectServed(<-one, "done")
			if round == 0 {
				Consistently(blocked("/desk/bad"), 30*time.Millisecond).Should(BeZero())
				close(gates["/desk/two"].open)
				expectServed(<-two, "done")
				Eventually(blocked("/desk/bad")).Should(BeEquivalentTo(1))
				close(gates["/desk/bad"].open)
				expectServed(<-bad, "done")
				gates = map[string]*gate{"/desk/one": newGate(), "/desk/two": newGate(), "/desk/bad": newGate()}
				continue
			}
			expectRefused(<-bad, notRun, fulmaroutcome.Condemned)
			close(gates["/desk/two"].open)
			expectServed(<-two, "done")
		}
	})

	// Guards against running condemned requests, and against running suspects beside
	// other requests.
	It("refuses condemned requests and runs suspects alone", func() {
		f, g := newFixture(true, 3), newGate()
		f.setTargetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		expectRefused(f.do(background, call{path: "bad"}), unknown, fulmaroutcome.TargetLost)
		fingerprints := f.d.Lost()
		f.guard.RecordLoss(time.Now(), fingerprints)
		f.d.Grant(1, []int{0, 1, 2, 3})
		f.setTargetHandler(g.serve)
		other := f.start(background, call{path: "good"})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		suspect := f.start(background, call{path: "bad"})
		Consistently(g.blocked.Load, 50*time.Millisecond).Should(BeEquivalentTo(1))
		close(g.open)
		expectServed(<-other, "done")
		expectServed(<-suspect, "done")
		Expect(f.guard.Marks(time.Now())).To(BeEmpty(), "a suspect that completed must be cleared")
		Eventually(f.clearedFingerprint.Load).Should(Equal(fingerprints[0]), "OnSuspectCleared must be called")
		f.guard.RecordLoss(time.Now(), fingerprints)
		f.guard.RecordLoss(time.Now(), fingerprints)
		expectRefused(f.do(background, call{path: "bad"}), notRun, fulmaroutcome.Condemned)
	})

	// Guards against sending a suspect to a target that has just crashed: its connection
	// would break too, and it would be condemned.
	It("starts no request after a suspect's connection broke until the grant was renewed twice", func() {
		f := newFixture(true, 3)
		crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		f.setTargetHandler(crash)
		for _, path := range []string{"bad", "good"} {
			expectRefused(f.do(background, call{path: path}), unknown, fulmaroutcome.TargetLost)
		}
		fingerprints := f.d.Lost()
		Expect(fingerprints).To(HaveLen(2))
		f.guard.RecordLoss(time.Now(), fingerprints)
		f.d.Grant(1, []int{0, 1, 2, 3})
		expectRefused(f.do(background, call{path: "bad"}), unknown, fulmaroutcome.TargetLost)
		g := newGate()
		close(g.open)
		f.setTargetHandler(g.serve)
		good := f.start(background, call{path: "good"})
		Eventually(f.d.Waiting).Should(Equal(1))
		f.d.Grant(1, []int{0, 1, 2, 3})
		Consistently(f.d.Waiting, 30*time.Millisecond).Should(Equal(1))
		f.d.Grant(1, []int{0, 1, 2, 3})
		expectServed(<-good, "done")
	})

	// Guards against a request that was routed by an older table, and so is looked up among other records than its duplicate.
	DescribeTable("refuses a request for another slot than that of its key", func(idempotent bool) {
		f := newFixture(idempotent, 1)
		slot, _ := f.table.Load().Slot(service, key)
		other := 1 + slot%3 // a slot of the target that is not 0, which stands for the key's own
		id := newID()
		expectRefused(f.do(background, call{id: id, slot: -other}), notRun, fulmaroutcome.Moving)
		Expect(f.executions(id)).To(BeZero())
	}, Entry("idempotent", true), Entry("at most once", false))

	// Guards against a queued request that is started although its deadline has passed.
	DescribeTable("starts no request after its deadline", func(idempotent bool) {
		f, g := newFixture(idempotent, 1), newGate()
		f.setTargetHandler(g.serve)
		running := f.start(background, call{id: newID(), timeout: time.Minute})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		id := newID()
		queued := f.start(background, call{id: id})
		Eventually(f.d.Waiting).Should(Equal(1))
		f.clockOffset.Store(int64(11 * time.Second)) // past the deadline, for which no timer of the system clock has fired
		close(g.open)
		expectServed(<-running, "done")
		expectRefused(<-queued, notRun, fulmaroutcome.Deadline)
		Expect(f.executions(id)).To(BeZero())
	}, Entry("idempotent", true), Entry("at most once", false))

	// Guards against a queued request that takes a place in the queue, and then of the target, after its caller has disconnected.
	It("withdraws a queued idempotent request when its caller disconnects", func() {
		f, g := newFixture(true, 1), newGate()
		f.setTargetHandler(g.serve)
		running := f.start(background, call{})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		ctx, cancel := context.WithCancel(background)
		id := newID()
		queued := f.start(ctx, call{id: id})
		Eventually(f.d.Waiting).Should(Equal(1))
		cancel()
		Expect((<-queued).err).To(HaveOccurred())
		Eventually(f.d.Waiting).Should(BeZero())
		close(g.open)
		expectServed(<-running, "done")
		Expect(f.executions(id)).To(BeZero())
	})

	// Guards against running a request whose caller has disconnected.
	It("cancels an idempotent request when its caller disconnects", func() {
		f, g := newFixture(true, 3), newGate()
		f.setTargetHandler(g.serve)
		ctx, cancel := context.WithCancel(background)
		first := f.start(ctx, call{})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		cancel()
		Expect((<-first).err).To(HaveOccurred())
		Eventually(g.canceled.Load).Should(BeEquivalentTo(1))
	})
})

var _ = Describe("moves and handovers", func() {
	// Guards against a move that completes while requests are in flight, and against
	// admission after Stop.
	It("waits for handlers, refuses queued requests and exports the records", func() {
		f, g, id, queued := newFixture(false, 1), newGate(), newID(), newID()
		f.setTargetHandler(g.serve)
		slot, _ := f.table.Load().Slot(service, key)
		running := f.start(background, call{id: id})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		waiting := f.start(background, call{id: queued})
		duplicate := f.start(background, call{id: id})
		Consistently(waiting, 20*time.Millisecond).ShouldNot(Receive())
		idle := f.d.Stop([]int{slot})
		expectRefused(<-waiting, notRun, fulmaroutcome.Moving)
		expectRefused(f.do(background, call{id: newID()}), notRun, fulmaroutcome.Moving)
		Expect(idle).NotTo(BeClosed())
		close(g.open)
		Eventually(idle).Should(BeClosed())
		expectServed(<-running, "done")
		// The duplicate may arrive before or after Stop, which refuses it.
		Expect((<-duplicate).outcome).To(Or(Equal("served"), Equal("not-run")))
		f.d.Grant(2, []int{(slot + 1) % 4})
		snapshot := f.d.Export([]int{slot})
		Expect(snapshot.Records).To(HaveLen(1))
		next, _ := f.dispatcher()
		next.Import(snapshot)
		next.Open(7, 1, []int{slot})
		f.front.Config.Handler = next
		expectServed(f.do(background, call{id: id}), "done")
		expectServed(f.do(background, call{id: queued}), "done")
		next.Close(fulmaroutcome.NotHolder)
		Expect(f.executions(id)).To(Equal(1))
	})

	// Guards against a handover that ends while a handler still writes its response or
	// refusal.
	DescribeTable("counts a request as in flight until its handler has returned", func(idempotent, refused bool) {
		f, g := newFixture(idempotent, 1), newGate()
		f.setTargetHandler(g.serve)
		running := f.start(background, call{id: newID(), path: "other"})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), writing: make(chan struct{}), unblock: make(chan struct{})}
		returned := make(chan struct{})
		go func() {
			defer close(returned)
			f.d.ServeHTTP(w, f.request(background, call{id: newID()}))
		}()
		Eventually(f.d.Waiting).Should(Equal(1))
		var idle <-chan struct{}
		if refused {
			idle = f.d.StopAll()
		}
		close(g.open)
		expectServed(<-running, "done")
		Eventually(w.writing).Should(BeClosed())
		Eventually(f.d.Running).Should(BeZero())
		if !refused {
			idle = f.d.StopAll()
		}
		Consistently(idle, 20*time.Millisecond).ShouldNot(BeClosed())
		close(w.unblock)
		Eventually(idle).Should(BeClosed())
		Eventually(returned).Should(BeClosed())
	},
		Entry("refused", true, true), Entry("refused, at most once", false, true),
		Entry("answered, at most once", false, false),
	)

	// Guards against using the records of an earlier grant when a slot is granted again.
	It("starts with empty records when a slot returns without imported records", func() {
		f, id := newFixture(false, 1), newID()
		slot, _ := f.table.Load().Slot(service, key)
		f.d.Grant(2, []int{(slot + 1) % 4})
		expectRefused(f.do(background, call{id: id}), notRun, fulmaroutcome.Moving)
		f.d.Grant(3, []int{0, 1, 2, 3})
		expectRefused(f.do(background, call{id: id}), unknown, fulmaroutcome.BeforeHorizon)
	})

	// Guards against losing records: a move is canceled when a request runs for too long,
	// and duplicates of this request must still get its response.
	It("keeps the records of a slot whose move was canceled", func() {
		f, g, id := newFixture(false, 1), newGate(), newID()
		f.assignKeySlot()
		f.setTargetHandler(g.serve)
		slot, _ := f.table.Load().Slot(service, key)
		running := f.start(background, call{id: id})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		f.d.Stop([]int{slot})
		f.d.Grant(2, []int{(slot + 1) % 4})
		expectRefused(f.do(background, call{id: id}), notRun, fulmaroutcome.Moving)
		f.d.Resume([]int{slot})
		f.d.Grant(3, []int{0, 1, 2, 3})
		close(g.open)
		expectServed(<-running, "done")
		expectServed(f.do(background, call{id: id}), "done")
		Expect(f.executions(id)).To(Equal(1))
	})

	// Guards against starting requests on a target that does not respond.
	It("starts no request while suspended and refuses queued requests at Close", func() {
		f, g, id := newFixture(false, 3), newGate(), newID()
		f.setTargetHandler(g.serve)
		running := f.start(background, call{id: id})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		f.d.Suspend()
		Expect(f.d.Lost()).To(HaveLen(1))
		expectRefused(<-running, unknown, fulmaroutcome.TargetLost)
		late := newID()
		waiting := f.start(background, call{id: late})
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		f.d.Close(fulmaroutcome.NotHolder)
		expectRefused(<-waiting, notRun, fulmaroutcome.NotHolder)
		Expect(f.executions(late)).To(BeZero())
	})

	// Guards against two sets of records for one key while a hot key gets its own slot.
	It("splits the records of a hot key off and merges them back", func() {
		f, g, id := newFixture(false, 3), newGate(), newID()
		f.setTargetHandler(g.serve)
		plain, _ := f.table.Load().Slot(service, key)
		running := f.start(background, call{id: id})
		Eventually(g.blocked.Load).Should(BeEquivalentTo(1))
		hash := fulmarslot.KeyHash(service, key)
		owned := f.assignKeySlot()
		table, err := owned.With(fulmarslot.AddHotKey(service, hash))
		Expect(err).NotTo(HaveOccurred())
		f.table.Store(&table)
		hot, _ := table.Slot(service, key)
		Expect(hot).NotTo(Equal(plain))
		f.d.Grant(table.Epoch(), []int{0, 1, 2, 3, hot})
		if plain > 0 {
			expectRefused(f.do(background, call{id: id, slot: -plain}), notRun, fulmaroutcome.Moving)
		}
		idle := f.d.Stop([]int{hot})
		Expect(idle).NotTo(BeClosed(), "the request of the key must count for its new slot")
		f.d.Resume([]int{hot})
		duplicate := f.start(background, call{id: id})
		close(g.open)
		expectServed(<-running, "done")
		expectServed(<-duplicate, "done")
		expectServed(f.do(background, call{id: id}), "done")
		table, err = table.With(fulmarslot.RemoveHotKey(service, hash))
		Expect(err).NotTo(HaveOccurred())
		f.table.Store(&table)
		f.d.Grant(table.Epoch(), []int{0, 1, 2, 3})
		expectServed(f.do(background, call{id: id}), "done")
		Expect(f.executions(id)).To(Equal(1))
		loads := f.d.Loads()
		Expect(loads).NotTo(BeEmpty())
		Expect(f.d.Loads()).To(BeEmpty())
	})
})
