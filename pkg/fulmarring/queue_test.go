package fulmarring_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarring"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func expectNext(ctx context.Context, q *fulmarring.Queue[int], want int) {
	GinkgoHelper()
	v, ok := q.Get(ctx)
	Expect(ok).To(BeTrue())
	Expect(v).To(Equal(want))
}

var _ = Describe("Ring", func() {
	// Guards against lost or reordered values, and against a put that blocks when the queue is full.
	It("returns values in order and rejects puts when full", func(ctx SpecContext) {
		r := fulmarring.New[int](2)
		Expect([]bool{r.TryPut(1), r.TryPut(2), r.TryPut(3)}).To(Equal([]bool{true, true, false}))
		for want := 1; want <= 2; want++ {
			expectNext(ctx, r, want)
		}
	})

	// Guards against values lost at shutdown, and against a consumer that blocks forever.
	It("returns queued values after Close and then reports the end", func(ctx SpecContext) {
		r := fulmarring.New[int](2)
		r.TryPut(1)
		r.Close()
		r.Close()
		Expect(r.TryPut(2)).To(BeFalse())
		expectNext(ctx, r, 1)
		_, ok := r.Get(ctx)
		Expect(ok).To(BeFalse())
	})

	// Guards against a consumer that stays blocked after its context ended.
	It("returns when the context ends", func(ctx SpecContext) {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, ok := fulmarring.New[int](1).Get(ended)
		Expect(ok).To(BeFalse())
	})

	// Guards against a send on a closed channel when producers race with Close.
	It("loses no value when producers race with Close", func(ctx SpecContext) {
		r := fulmarring.New[int](1000)
		var puts, gets int
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for range 200 {
					if r.TryPut(1) {
						mu.Lock()
						puts++
						mu.Unlock()
					}
				}
			})
		}
		r.Close()
		wg.Wait()
		for _, ok := r.Get(ctx); ok; _, ok = r.Get(ctx) {
			gets++
		}
		Expect(gets).To(Equal(puts))
	})

	// Guards against a queue of capacity zero, on which every put would fail.
	It("panics if the capacity is not positive", func() {
		Expect(func() { fulmarring.New[int](0) }).To(Panic())
	})
})

func ExampleQueue() {
	r := fulmarring.New[string](1)
	fmt.Println(r.TryPut("a"), r.TryPut("b"))
	v, ok := r.Get(context.Background())
	fmt.Println(v, ok)
	// Output:
	// true false
	// a true
}

func BenchmarkPutGet(b *testing.B) {
	r := fulmarring.New[int](64)
	b.ReportAllocs()
	for b.Loop() {
		r.TryPut(1)
		r.Get(context.Background())
	}
}
