package fulmarqueue_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

type (
	queue = fulmarqueue.Queue[int]
	item  = fulmarqueue.Item[int]
)

func mustPush(q *queue, it item) fulmarqueue.Ticket {
	GinkgoHelper()
	t, err := q.Push(start, it)
	Expect(err).NotTo(HaveOccurred())
	return t
}

func expectPop(q *queue, value int) fulmarqueue.Ticket {
	GinkgoHelper()
	t, it, ok := q.Pop(start)
	Expect(ok).To(BeTrue())
	Expect(it.Value).To(Equal(value))
	return t
}

func expectNothing(q *queue) {
	GinkgoHelper()
	_, it, ok := q.Pop(start)
	Expect(ok).To(BeFalse(), "started %v", it)
}

var _ = Describe("Queue", func() {
	// Guards against long work that takes the last slot, and against short
	// work blocked by waiting long work of its own group.
	It("keeps one slot from long work", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 3)
		for i := range 3 {
			mustPush(q, item{Group: "a", Class: fulmarqueue.Long, Cost: time.Second, Value: i})
		}
		mustPush(q, item{Group: "a", Cost: time.Millisecond, Value: 9})
		first := expectPop(q, 0)
		expectPop(q, 1)
		short := expectPop(q, 9)
		q.Done(short, time.Millisecond)
		expectNothing(q)
		q.Done(first, time.Second)
		expectPop(q, 2)
	})

	// Guards against long work that never runs on a target with one slot.
	It("lets long work take the only slot", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 1)
		mustPush(q, item{Group: "a", Class: fulmarqueue.Long, Value: 1})
		expectPop(q, 1)
	})

	// Guards against an exclusive item that runs beside other work, and
	// against a reservation that blocks short work until slow long work ends.
	It("runs an exclusive item alone and admits short work while long work runs", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 3)
		mustPush(q, item{Group: "a", Class: fulmarqueue.Long, Cost: time.Second, Value: 1})
		long := expectPop(q, 1)
		mustPush(q, item{Group: "b", Exclusive: true, Value: 2})
		mustPush(q, item{Group: "a", Class: fulmarqueue.Long, Value: 4})
		mustPush(q, item{Group: "c", Cost: time.Millisecond, Value: 3})
		short := expectPop(q, 3)
		expectNothing(q)
		q.Done(long, time.Second)
		mustPush(q, item{Group: "d", Value: 5})
		expectNothing(q)
		q.Done(short, time.Millisecond)
		alone := expectPop(q, 2)
		expectNothing(q)
		q.Done(alone, time.Millisecond)
		expectPop(q, 5)
		expectPop(q, 4)
	})

	// Guards against a reservation that outlives its item and blocks the target.
	It("ends the reservation of a removed item", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 2)
		mustPush(q, item{Group: "a", Value: 1})
		expectPop(q, 1)
		alone := mustPush(q, item{Group: "b", Exclusive: true, Value: 2})
		expectNothing(q)
		mustPush(q, item{Group: "c", Value: 3})
		expectNothing(q)
		Expect(q.Remove(alone)).To(BeTrue())
		Expect(q.Remove(alone)).To(BeFalse())
		expectPop(q, 3)
	})

	// Guards against unbounded queues and against work that is accepted only to expire.
	It("refuses work beyond the bound or the deadline", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 1)
		q.SetLimits("a", fulmarqueue.Limits{Weight: 1, MaxQueued: 2})
		at := func(d time.Duration) item {
			return item{Group: "a", Cost: time.Second, Deadline: start.Add(d)}
		}
		mustPush(q, at(time.Minute))
		_, _, ok := q.Pop(start)
		Expect(ok).To(BeTrue())
		mustPush(q, at(time.Minute))
		_, err := q.Push(start, at(2400*time.Millisecond))
		Expect(err).To(MatchError(fulmarqueue.ErrDeadline))
		mustPush(q, at(2600*time.Millisecond))
		_, err = q.Push(start, at(time.Minute))
		Expect(err).To(MatchError(fulmarqueue.ErrFull))
		Expect(q.Expire(nil, start.Add(3*time.Second))).To(HaveLen(1))
		Expect(q.Len()).To(Equal(1))
	})

	// Guards against refusing a light group because a heavy one has a backlog.
	It("counts only the work that is served earlier", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 1)
		for range 500 {
			mustPush(q, item{Group: "heavy", Cost: time.Second})
		}
		mustPush(q, item{Group: "light", Cost: time.Second, Deadline: start.Add(100 * time.Millisecond)})
	})

	// Guards against a group that accumulates credit while it is idle.
	It("raises the virtual time of a group that returns", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 1)
		mustPush(q, item{Group: "b", Cost: time.Second})
		for i := range 20 {
			mustPush(q, item{Group: "a", Cost: time.Second, Value: i})
			t, _, _ := q.Pop(start)
			q.Done(t, time.Second)
		}
		for i := range 4 {
			mustPush(q, item{Group: "b", Cost: time.Second, Value: 100 + i})
		}
		served := map[string]int{}
		for range 4 {
			t, it, _ := q.Pop(start)
			q.Done(t, time.Second)
			served[it.Group]++
		}
		Expect(served["b"]).To(BeNumerically("<=", 3))
	})

	// Guards against memory that grows with every group ever seen.
	It("forgets idle groups", func() {
		q := fulmarqueue.New[int](fulmarqueue.Fair, 1)
		now := start
		for i := range 10_000 {
			now = now.Add(time.Second)
			_, err := q.Push(now, item{Group: fmt.Sprint(i), Cost: time.Second})
			Expect(err).NotTo(HaveOccurred())
			t, _, _ := q.Pop(now)
			q.Done(t, time.Second)
		}
		Expect(q.Groups()).To(BeNumerically("<", 70))
	})

	// Guards against shares of server time outside the bound that doc.go states.
	It("shares server time by weight within the bound", func() {
		rapid.Check(GinkgoT(), checkFairness)
	})

	// Guards against lost, duplicated or ineligible items in every discipline.
	It("keeps its invariants in every discipline", func() {
		rapid.Check(GinkgoT(), checkInvariants)
	})
})

// checkFairness keeps two groups of random weights backlogged while a third
// group has work at times. Expected costs differ from the time used.
func checkFairness(t *rapid.T) {
	slots := rapid.IntRange(1, 5).Draw(t, "slots")
	q := fulmarqueue.New[time.Duration](fulmarqueue.Fair, slots)
	weights := map[string]float64{"a": 1, "b": float64(rapid.IntRange(1, 5).Draw(t, "weight")), "c": 2}
	names := []string{"a", "b", "c"}
	for _, n := range names {
		q.SetLimits(n, fulmarqueue.Limits{Weight: weights[n], MaxQueued: 10_000})
	}
	duration := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(1, 100).Draw(t, label)) * time.Millisecond
	}
	var largest, wrong time.Duration
	push := func(n string) {
		used, cost := duration("used"), duration("cost")
		largest, wrong = max(largest, used), max(wrong, (used-cost).Abs())
		_, err := q.Push(start, fulmarqueue.Item[time.Duration]{Group: n, Cost: cost, Value: used})
		if err != nil {
			t.Fatal(err)
		}
	}
	type run struct {
		ticket fulmarqueue.Ticket
		used   time.Duration
	}
	var running []run
	normalised, low, high := map[string]float64{}, 0.0, 0.0
	for range 20 {
		push("a")
		push("b")
	}
	for range rapid.IntRange(10, 150).Draw(t, "steps") {
		if rapid.IntRange(0, 3).Draw(t, "third") == 0 {
			push("c")
		}
		for {
			ticket, it, ok := q.Pop(start)
			if !ok {
				break
			}
			running = append(running, run{ticket, it.Value})
			normalised[it.Group] += it.Value.Seconds() / weights[it.Group]
			if it.Group != "c" {
				push(it.Group)
			}
			gap := normalised["a"] - normalised["b"]
			low, high = min(low, gap), max(high, gap)
		}
		i := rapid.IntRange(0, len(running)-1).Draw(t, "end")
		q.Done(running[i].ticket, running[i].used)
		running = append(running[:i], running[i+1:]...)
	}
	bound := largest.Seconds() + float64(slots)*wrong.Seconds()
	if math.Max(high, -low) > bound+1e-9 || high-low > 2*bound+1e-9 {
		t.Fatalf("gap %v..%v exceeds bound %v", low, high, bound)
	}
}

// checkInvariants compares random operations with a model that tracks only
// which items are waiting and running.
func checkInvariants(t *rapid.T) {
	discipline := fulmarqueue.Discipline(rapid.IntRange(0, 3).Draw(t, "discipline"))
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	q := fulmarqueue.New[int](discipline, slots)
	now := start
	waiting, running := map[fulmarqueue.Ticket]item{}, map[fulmarqueue.Ticket]item{}
	alone, longs := 0, 0
	take := func(t2 fulmarqueue.Ticket, it item) {
		if waiting[t2] != it {
			t.Fatalf("started %v, which does not wait", it)
		}
		if alone > 0 || it.Exclusive && len(running) > 0 {
			t.Fatal("work beside an item that runs alone")
		}
		delete(waiting, t2)
		running[t2] = it
		if it.Exclusive {
			alone++
		}
		if it.Class == fulmarqueue.Long {
			longs++
		}
		if discipline == fulmarqueue.Fair && !it.Exclusive && it.Class == fulmarqueue.Long && longs > max(1, slots-1) {
			t.Fatal("long work in the last slot")
		}
	}
	finish := func(t2 fulmarqueue.Ticket) {
		it := running[t2]
		q.Done(t2, time.Duration(rapid.IntRange(0, 50).Draw(t, "used"))*time.Millisecond)
		delete(running, t2)
		if it.Exclusive {
			alone--
		}
		if it.Class == fulmarqueue.Long {
			longs--
		}
	}
	pick := func(from map[fulmarqueue.Ticket]item) (fulmarqueue.Ticket, bool) {
		least := fulmarqueue.Ticket(math.MaxUint64)
		for k := range from {
			least = min(least, k)
		}
		return least, len(from) > 0
	}
	next := 0
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			next++
			it := item{
				Group:     string(rune('a' + rapid.IntRange(0, 4).Draw(t, "group"))),
				Class:     fulmarqueue.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				Cost:      time.Duration(rapid.IntRange(0, 50).Draw(t, "cost")) * time.Millisecond,
				Exclusive: rapid.IntRange(0, 5).Draw(t, "alone") == 0, Value: next,
			}
			if rapid.Bool().Draw(t, "bounded") {
				it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond)
			}
			if ticket, err := q.Push(now, it); err == nil {
				waiting[ticket] = it
			}
		},
		"pop": func(*rapid.T) {
			if ticket, it, ok := q.Pop(now); ok {
				take(ticket, it)
			}
		},
		"done": func(*rapid.T) {
			if ticket, ok := pick(running); ok {
				finish(ticket)
			}
		},
		"remove": func(t *rapid.T) {
			if ticket, ok := pick(waiting); ok {
				delete(waiting, ticket)
				if !q.Remove(ticket) || q.Remove(ticket) {
					t.Fatal("a waiting item is removed once")
				}
			}
		},
		"expire": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pass")) * time.Millisecond)
			expired := map[int]bool{}
			for _, it := range q.Expire(nil, now) {
				expired[it.Value] = true
			}
			for ticket, it := range waiting {
				passed := !it.Deadline.IsZero() && !it.Deadline.After(now)
				if passed != expired[it.Value] {
					t.Fatalf("item %v passed %v", it, passed)
				}
				if passed {
					delete(waiting, ticket)
				}
			}
		},
		"": func(t *rapid.T) {
			if q.Len() != len(waiting) || q.Running() != len(running) || len(running) > slots {
				t.Fatalf("waiting %d of %d, running %d of %d", q.Len(), len(waiting), q.Running(), len(running))
			}
		},
	})
	// No item may starve: all remaining items must start and end.
	for len(waiting)+len(running) > 0 {
		ticket, it, ok := q.Pop(now)
		if ok {
			take(ticket, it)
			continue
		}
		if ticket, ok = pick(running); !ok {
			t.Fatalf("%d items wait on an empty target", len(waiting))
		}
		finish(ticket)
	}
}

func ExampleQueue() {
	q := fulmarqueue.New[string](fulmarqueue.Fair, 1)
	now := time.Unix(0, 0)
	for _, it := range []fulmarqueue.Item[string]{
		{Group: "a", Cost: time.Second, Value: "a1"},
		{Group: "a", Cost: time.Second, Value: "a2"},
		{Group: "b", Cost: time.Second, Value: "b1"},
	} {
		if _, err := q.Push(now, it); err != nil {
			fmt.Println(err)
		}
	}
	for q.Len() > 0 {
		ticket, it, _ := q.Pop(now)
		fmt.Println(it.Value)
		q.Done(ticket, it.Cost)
	}
	// Output:
	// a1
	// b1
	// a2
}

func BenchmarkDecision(b *testing.B) {
	for _, groups := range []int{10, 100, 1000} {
		for _, depth := range []int{10, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("groups=%d/waiting=%d", groups, depth), func(b *testing.B) {
				benchmarkDecision(b, groups, depth)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, groups, depth int) {
	q := fulmarqueue.New[int](fulmarqueue.Fair, 3)
	src := rand.New(rand.NewPCG(1, 2))
	names := make([]string, groups)
	for i := range names {
		names[i] = fmt.Sprintf("group-%d", i)
		q.SetLimits(names[i], fulmarqueue.Limits{Weight: 1 + float64(i%3), MaxQueued: 1 << 20})
	}
	now := start
	push := func() {
		now = now.Add(time.Microsecond)
		it := item{Group: names[src.IntN(groups)], Cost: time.Duration(1+src.IntN(9)) * time.Millisecond}
		if src.IntN(20) == 0 {
			it.Class = fulmarqueue.Long
		}
		it.Deadline = now.Add(time.Hour + time.Duration(src.IntN(1000))*time.Millisecond)
		if _, err := q.Push(now, it); err != nil {
			b.Fatal(err)
		}
	}
	step := func() {
		push()
		ticket, it, ok := q.Pop(now)
		if ok {
			q.Done(ticket, it.Cost+time.Millisecond)
		}
	}
	for range depth {
		push()
	}
	for range 2 * depth {
		step()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
