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

func quiet() *log.Logger { return log.New(io.Discard, "", 0) }

var background = context.Background()

var _ = Describe("answers", func() {
	// Guards against a truncated body that looks complete (I3).
	DescribeTable("a body that breaks off aborts the caller's connection",
		func(idempotent, announced bool) {
			r := newRig(idempotent, 3)
			r.serve(func(w http.ResponseWriter, _ *http.Request) {
				if announced {
					w.Header().Set("Content-Length", "500000")
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 200000))
				panic(http.ErrAbortHandler)
			})
			Expect(r.do(background, call{id: newID()}).err).To(HaveOccurred())
		},
		Entry("idempotent, with a length", true, true),
		Entry("idempotent, chunked", true, false),
		Entry("at most once, with a length", false, true),
		Entry("at most once, chunked", false, false),
	)

	// Guards against presenting a short broken body as served.
	It("reports a kept body that breaks off as unknown", func() {
		r := newRig(false, 3)
		r.serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		})
		expectRefused(r.do(background, call{id: newID()}), unknown, fulmaroutcome.BodyBroken)
	})

	// Guards against buffering whole bodies, in either direction.
	DescribeTable("large bodies pass under bounded memory", func(idempotent bool) {
		const size = 64 << 20
		r := newRig(idempotent, 3)
		r.serve(func(w http.ResponseWriter, q *http.Request) {
			n, _ := io.Copy(io.Discard, q.Body)
			_, _ = io.Copy(w, io.LimitReader(zeros{}, n))
		})
		q := r.request(background, call{id: newID(), timeout: time.Minute, body: io.LimitReader(zeros{}, size)})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		resp, err := r.client.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(size)))
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", size/8))
	}, Entry("idempotent", true), Entry("at most once", false))

	// Guards against telling a not-run order of the target from one that ran.
	DescribeTable("a target's refusal is passed on", func(status int, reason fulmaroutcome.Reason) {
		r := newRig(false, 3)
		r.serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(fulmaroutcome.HeaderOutcome, "not-run")
			w.WriteHeader(status)
		})
		id := newID()
		expectRefused(r.do(background, call{id: id}), notRun, reason)
		r.serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
		expectServed(r.do(background, call{id: id}), "done")
	}, Entry("fenced", 412, fulmaroutcome.Fenced), Entry("shed", 503, fulmaroutcome.Shed))
})

// stuck is a caller that does not read until it is freed.
type stuck struct {
	*httptest.ResponseRecorder
	once          sync.Once
	writing, free chan struct{}
}

func (s *stuck) WriteHeader(status int) {
	s.once.Do(func() { close(s.writing) })
	<-s.free
	s.ResponseRecorder.WriteHeader(status)
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("requests that run at most once", func() {
	// Guards against running a duplicate (I5).
	It("gives duplicates in flight the answer of one execution, and replays it later", func() {
		r, g, id := newRig(false, 3), newGate(), newID()
		r.serve(g.serve)
		first := r.start(background, call{id: id})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		second := r.start(background, call{id: id})
		third, cancel := context.WithCancel(background)
		gone := r.start(third, call{id: id})
		cancel()
		Eventually(gone).Should(Receive())
		close(g.open)
		expectServed(<-first, "done")
		expectServed(<-second, "done")
		expectServed(r.do(background, call{id: id}), "done")
		Expect(r.executions(id)).To(Equal(1))
	})

	// Guards against running a request again because its answer was too long to keep.
	It("reports a long answer as dropped to duplicates", func() {
		r, id := newRig(false, 3), newID()
		long := strings.Repeat("x", 10*keep)
		r.serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
		expectServed(r.do(background, call{id: id}), long)
		expectRefused(r.do(background, call{id: id}), unknown, fulmaroutcome.AnswerDropped)
		Expect(r.executions(id)).To(Equal(1))
	})

	// Guards against losing the answer of an order whose caller went away, and against cutting it off.
	It("lets an order finish whose caller is gone", func() {
		r, g, id := newRig(false, 3), newGate(), newID()
		r.serve(g.serve)
		ctx, cancel := context.WithCancel(background)
		first := r.start(ctx, call{id: id})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		cancel()
		Expect((<-first).err).To(HaveOccurred())
		close(g.open)
		expectServed(r.do(background, call{id: id}), "done")
		Expect(r.executions(id)).To(Equal(1))
		Expect(g.ended.Load()).To(BeZero())
	})

	// Guards against running again what may have run on a connection that broke.
	It("keeps a broken connection as unknown and names its work when the target is lost", func() {
		r, id := newRig(false, 3), newID()
		r.serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		expectRefused(r.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		expectRefused(r.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		Expect(r.executions(id)).To(Equal(1))
		Expect(r.d.Lost()).To(HaveLen(1))
	})

	// Guards against resending by net/http, which would run the order twice.
	It("does not resend on a reused connection that breaks", func() {
		r, id := newRig(false, 3), newID()
		expectServed(r.do(background, call{id: newID()}), "done")
		r.serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		expectRefused(r.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		Expect(r.executions(id)).To(Equal(1))
	})

	// Guards against remembering an order that was never sent.
	It("forgets an order that could not be sent", func() {
		r := newRig(false, 3)
		r.target.Close()
		id := newID()
		expectRefused(r.do(background, call{id: id}), notRun, fulmaroutcome.Dial)
		expectRefused(r.do(background, call{id: id}), notRun, fulmaroutcome.Dial)
	})

	// Guards against running an id that an earlier dispatcher may have run, and against ids of the future.
	It("refuses ids before the horizon and ahead of the clock", func() {
		r := newRig(false, 3)
		id := uuid.Must(uuid.NewV7())
		copy(id[:6], make([]byte, 6))
		expectRefused(r.do(background, call{id: id.String()}), unknown, fulmaroutcome.BeforeHorizon)
		ahead := newID()
		r.offset.Store(int64(-10 * time.Second))
		expectRefused(r.do(background, call{id: ahead}), notRun, fulmaroutcome.IDAhead)
	})

	// Guards against refusing ids after a takeover that no earlier dispatcher
	// can have run, and against running those that one may have run.
	It("counts a new memory from the last order of other dispatchers", func() {
		r := newRig(false, 3)
		d, _ := r.dispatcher()
		defer d.Close(fulmaroutcome.NotHolder)
		slot, _ := r.table.Load().Slot(service, key)
		d.SetComplete(time.Now().Add(-time.Second), []int{slot})
		old, fresh := uuid.Must(uuid.NewV7()), newID()
		at := time.Now().Add(-900 * time.Millisecond).UnixMilli() // within two skew bounds of the last order
		for i := range 6 {
			old[i] = byte(at >> (8 * (5 - i)))
		}
		d.Open(9, 3, []int{0, 1, 2, 3})
		front := httptest.NewServer(d)
		defer front.Close()
		first := r.front
		defer func() { r.front = first }()
		r.front = front
		expectRefused(r.do(background, call{id: old.String()}), unknown, fulmaroutcome.BeforeHorizon)
		expectServed(r.do(background, call{id: fresh}), "done")
	})
})

var _ = Describe("refusals", func() {
	// Guards against an order that starts although its request was refused as not run (I4).
	DescribeTable("decides a refusal and the removal from the queue together", func(idempotent bool) {
		r := newRig(idempotent, 1)
		src := rand.New(rand.NewPCG(1, 2))
		const rounds = 400
		refused, ids := 0, []string(nil)
		for range rounds {
			// The end of one order starts the next while the caller of the next goes away. The answer is
			// seen even so, because no connection to the caller is involved.
			g, id := newGate(), newID()
			r.serve(g.serve)
			first := r.start(background, call{id: newID(), path: "first"})
			for g.inside.Load() == 0 {
				runtime.Gosched()
			}
			r.serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
			ctx, cancel := context.WithCancel(background)
			w := httptest.NewRecorder()
			var second sync.WaitGroup
			var ended atomic.Bool
			second.Go(func() {
				r.d.ServeHTTP(w, r.request(ctx, call{id: id}))
				ended.Store(true)
			})
			// On a busy machine the request may be refused before it ever waits.
			for r.d.Waiting() == 0 && !ended.Load() {
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
		// An order that started late would have arrived by the time that a later one has been answered.
		expectServed(r.do(background, call{id: newID()}), "done")
		for _, id := range ids {
			Expect(r.executions(id)).To(BeZero())
		}
	}, Entry("idempotent", true), Entry("at most once", false))

	// Guards against work that is marked while it waits and then runs beside other work, or at all.
	It("checks marks again when the turn of a request comes", func() {
		r := newRig(true, 2)
		gates := map[string]*gate{"/desk/one": newGate(), "/desk/two": newGate(), "/desk/bad": newGate()}
		r.serve(func(w http.ResponseWriter, q *http.Request) { gates[q.URL.Path].serve(w, q) })
		inside := func(path string) func() int32 { return gates[path].inside.Load }
		for condemned := range 2 {
			r.d.Grant(1, []int{0, 1, 2, 3})
			bad := r.start(background, call{path: "bad"})
			Eventually(inside("/desk/bad")).Should(BeEquivalentTo(1))
			marks := r.d.Lost()
			Expect((<-bad).reason).To(Equal(string(fulmaroutcome.TargetLost)))
			r.d.Grant(1, []int{0, 1, 2, 3})
			one, two := r.start(background, call{path: "one"}), r.start(background, call{path: "two"})
			Eventually(inside("/desk/one")).Should(BeEquivalentTo(1))
			Eventually(inside("/desk/two")).Should(BeEquivalentTo(1))
			bad = r.start(background, call{path: "bad"})
			Eventually(r.d.Waiting).Should(Equal(1))
			for range condemned + 1 {
				r.guard.RecordLoss(time.Now(), marks)
			}
			close(gates["/desk/one"].open)
			expectServed(<-one, "done")
			if condemned == 0 {
				Consistently(inside("/desk/bad"), 30*time.Millisecond).Should(BeZero())
				close(gates["/desk/two"].open)
				expectServed(<-two, "done")
				Eventually(inside("/desk/bad")).Should(BeEquivalentTo(1))
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

	// Guards against condemned work reaching another target, and suspects running beside other work.
	It("refuses condemned work and runs suspects alone", func() {
		r, g := newRig(true, 3), newGate()
		r.serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		expectRefused(r.do(background, call{path: "bad"}), unknown, fulmaroutcome.TargetLost)
		marks := r.d.Lost()
		r.guard.RecordLoss(time.Now(), marks)
		r.d.Grant(1, []int{0, 1, 2, 3})
		r.serve(g.serve)
		other := r.start(background, call{path: "good"})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		suspect := r.start(background, call{path: "bad"})
		Consistently(g.inside.Load, 50*time.Millisecond).Should(BeEquivalentTo(1))
		close(g.open)
		expectServed(<-other, "done")
		expectServed(<-suspect, "done")
		Expect(r.guard.Marks(time.Now())).To(BeEmpty(), "completed work is cleared")
		Eventually(r.cleared.Load).Should(Equal(marks[0]), "the fleet does not learn of it")
		r.guard.RecordLoss(time.Now(), marks)
		r.guard.RecordLoss(time.Now(), marks)
		expectRefused(r.do(background, call{path: "bad"}), notRun, fulmaroutcome.Condemned)
	})

	// Guards against a suspect that is sent to a target which has just crashed, breaks off as well and is condemned.
	It("starts nothing after a suspect broke off until the target renewed twice", func() {
		r := newRig(true, 3)
		crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		r.serve(crash)
		for _, path := range []string{"bad", "good"} {
			expectRefused(r.do(background, call{path: path}), unknown, fulmaroutcome.TargetLost)
		}
		marks := r.d.Lost()
		Expect(marks).To(HaveLen(2))
		r.guard.RecordLoss(time.Now(), marks)
		r.d.Grant(1, []int{0, 1, 2, 3})
		expectRefused(r.do(background, call{path: "bad"}), unknown, fulmaroutcome.TargetLost)
		g := newGate()
		close(g.open)
		r.serve(g.serve)
		good := r.start(background, call{path: "good"})
		Eventually(r.d.Waiting).Should(Equal(1))
		r.d.Grant(1, []int{0, 1, 2, 3})
		Consistently(r.d.Waiting, 30*time.Millisecond).Should(Equal(1))
		r.d.Grant(1, []int{0, 1, 2, 3})
		expectServed(<-good, "done")
	})

	// Guards against work that goes on for a caller that is gone.
	It("cancels an idempotent order with its caller", func() {
		r, g := newRig(true, 3), newGate()
		r.serve(g.serve)
		ctx, cancel := context.WithCancel(background)
		first := r.start(ctx, call{})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		cancel()
		Expect((<-first).err).To(HaveOccurred())
		Eventually(g.ended.Load).Should(BeEquivalentTo(1))
	})
})

var _ = Describe("moves and handovers", func() {
	// Guards against a move that overtakes work in flight, and against admission after Stop.
	It("waits for handlers, refuses what waits and hands over the memory", func() {
		r, g, id, queued := newRig(false, 1), newGate(), newID(), newID()
		r.serve(g.serve)
		slot, _ := r.table.Load().Slot(service, key)
		running := r.start(background, call{id: id})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		waiting := r.start(background, call{id: queued})
		duplicate := r.start(background, call{id: id})
		Consistently(waiting, 20*time.Millisecond).ShouldNot(Receive())
		idle := r.d.Stop([]int{slot})
		expectRefused(<-waiting, notRun, fulmaroutcome.Moving)
		expectRefused(r.do(background, call{id: newID()}), notRun, fulmaroutcome.Moving)
		Expect(idle).NotTo(BeClosed())
		close(g.open)
		Eventually(idle).Should(BeClosed())
		expectServed(<-running, "done")
		// A duplicate that came after Stop is refused at the door.
		Expect((<-duplicate).outcome).To(Or(Equal("served"), Equal("not-run")))
		r.d.Grant(2, []int{(slot + 1) % 4})
		snapshot := r.d.Export([]int{slot})
		Expect(snapshot.Records).To(HaveLen(1))
		next, _ := r.dispatcher()
		next.Import(snapshot)
		next.Open(7, 1, []int{slot})
		r.front.Config.Handler = next
		expectServed(r.do(background, call{id: id}), "done")
		expectServed(r.do(background, call{id: queued}), "done")
		next.Close(fulmaroutcome.NotHolder)
		Expect(r.executions(id)).To(Equal(1))
	})

	// Guards against a handover that ends while a handler still writes its answer or refusal.
	DescribeTable("counts a request as in flight until its handler has returned", func(idempotent, refused bool) {
		r, g := newRig(idempotent, 1), newGate()
		r.serve(g.serve)
		running := r.start(background, call{id: newID(), path: "other"})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		w := &stuck{ResponseRecorder: httptest.NewRecorder(), writing: make(chan struct{}), free: make(chan struct{})}
		returned := make(chan struct{})
		go func() {
			defer close(returned)
			r.d.ServeHTTP(w, r.request(background, call{id: newID()}))
		}()
		Eventually(r.d.Waiting).Should(Equal(1))
		var idle <-chan struct{}
		if refused {
			idle = r.d.StopAll()
		}
		close(g.open)
		expectServed(<-running, "done")
		Eventually(w.writing).Should(BeClosed())
		Eventually(r.d.Running).Should(BeZero())
		if !refused {
			idle = r.d.StopAll()
		}
		Consistently(idle, 20*time.Millisecond).ShouldNot(BeClosed())
		close(w.free)
		Eventually(idle).Should(BeClosed())
		Eventually(returned).Should(BeClosed())
	},
		Entry("refused", true, true), Entry("refused, at most once", false, true),
		Entry("answered, at most once", false, false),
	)

	// Guards against a slot that returns with the memory of an earlier stay.
	It("starts the memory anew when a slot returns without its memory", func() {
		r, id := newRig(false, 1), newID()
		slot, _ := r.table.Load().Slot(service, key)
		r.d.Grant(2, []int{(slot + 1) % 4})
		expectRefused(r.do(background, call{id: id}), notRun, fulmaroutcome.Moving)
		r.d.Grant(3, []int{0, 1, 2, 3})
		expectRefused(r.do(background, call{id: id}), unknown, fulmaroutcome.BeforeHorizon)
	})

	// Guards against losing the answers of long work, which is what a move is cancelled for.
	It("keeps the memory of a slot whose move was cancelled", func() {
		r, g, id := newRig(false, 1), newGate(), newID()
		r.own()
		r.serve(g.serve)
		slot, _ := r.table.Load().Slot(service, key)
		running := r.start(background, call{id: id})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		r.d.Stop([]int{slot})
		r.d.Grant(2, []int{(slot + 1) % 4})
		expectRefused(r.do(background, call{id: id}), notRun, fulmaroutcome.Moving)
		r.d.Resume([]int{slot})
		r.d.Grant(3, []int{0, 1, 2, 3})
		close(g.open)
		expectServed(<-running, "done")
		expectServed(r.do(background, call{id: id}), "done")
		Expect(r.executions(id)).To(Equal(1))
	})

	// Guards against starting work on a target that does not answer.
	It("starts nothing while suspended and refuses what waits at Close", func() {
		r, g, id := newRig(false, 3), newGate(), newID()
		r.serve(g.serve)
		running := r.start(background, call{id: id})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		r.d.Suspend()
		Expect(r.d.Lost()).To(HaveLen(1))
		expectRefused(<-running, unknown, fulmaroutcome.TargetLost)
		late := newID()
		waiting := r.start(background, call{id: late})
		Consistently(waiting, 50*time.Millisecond).ShouldNot(Receive())
		r.d.Close(fulmaroutcome.NotHolder)
		expectRefused(<-waiting, notRun, fulmaroutcome.NotHolder)
		Expect(r.executions(late)).To(BeZero())
	})

	// Guards against two memories for one key while a hot key gets a slot of its own.
	It("splits the memory of a hot key and joins it again", func() {
		r, g, id := newRig(false, 3), newGate(), newID()
		r.serve(g.serve)
		plain, _ := r.table.Load().Slot(service, key)
		running := r.start(background, call{id: id})
		Eventually(g.inside.Load).Should(BeEquivalentTo(1))
		hash := fulmarslot.KeyHash(service, key)
		owned := r.own()
		table, err := owned.With(fulmarslot.AddHotKey(service, hash))
		Expect(err).NotTo(HaveOccurred())
		r.table.Store(&table)
		hot, _ := table.Slot(service, key)
		Expect(hot).NotTo(Equal(plain))
		r.d.Grant(table.Epoch(), []int{0, 1, 2, 3, hot})
		if plain > 0 {
			expectRefused(r.do(background, call{id: id, slot: -plain}), notRun, fulmaroutcome.Moving)
		}
		idle := r.d.Stop([]int{hot})
		Expect(idle).NotTo(BeClosed(), "the order of the key counts for its new slot")
		r.d.Resume([]int{hot})
		duplicate := r.start(background, call{id: id})
		close(g.open)
		expectServed(<-running, "done")
		expectServed(<-duplicate, "done")
		expectServed(r.do(background, call{id: id}), "done")
		table, err = table.With(fulmarslot.RemoveHotKey(service, hash))
		Expect(err).NotTo(HaveOccurred())
		r.table.Store(&table)
		r.d.Grant(table.Epoch(), []int{0, 1, 2, 3})
		expectServed(r.do(background, call{id: id}), "done")
		Expect(r.executions(id)).To(Equal(1))
		loads := r.d.Loads()
		Expect(loads).NotTo(BeEmpty())
		Expect(r.d.Loads()).To(BeEmpty())
	})
})
