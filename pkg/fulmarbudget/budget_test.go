package fulmarbudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbudget"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newBudget() *fulmarbudget.Budget {
	return fulmarbudget.New(0.1, 1, rand.NewPCG(1, 2))
}

var _ = Describe("Budget", func() {
	// Guards against retries beyond the budget, and against a budget shared between groups.
	It("spends what a group earned", func() {
		b := newBudget()
		Expect(b.Take(start, "a")).To(BeTrue())
		Expect(b.Take(start, "a")).To(BeFalse())
		Expect(b.Take(start, "b")).To(BeTrue())
		for range 10 {
			b.Earn(start, "a")
		}
		Expect(b.Take(start, "a")).To(BeTrue())
		Expect(b.Take(start.Add(900*time.Millisecond), "a")).To(BeFalse())
		Expect(b.Take(start.Add(time.Second), "a")).To(BeTrue())
		Expect(b.Take(start.Add(-time.Hour), "a")).To(BeFalse())
	})

	// Guards against memory that grows with the number of group names.
	It("bounds the groups", func() {
		b := newBudget()
		for i := range 10_000 {
			b.Earn(start, fmt.Sprint(i))
		}
		Expect(b.Len()).To(Equal(4096))
	})

	// Guards against synchronised retries and against waits beyond the ceiling.
	It("backs off with full jitter", func() {
		b := newBudget()
		for retry, ceiling := range map[int]time.Duration{-1: 10, 0: 10, 1: 20, 5: 320, 6: 500, 1000: 500} {
			ceiling *= time.Millisecond
			longest, shortest := time.Duration(0), time.Hour
			for range 1000 {
				d := b.Backoff(retry)
				longest, shortest = max(longest, d), min(shortest, d)
			}
			Expect(longest).To(BeNumerically("<=", ceiling))
			Expect(longest).To(BeNumerically(">", ceiling*9/10))
			Expect(shortest).To(BeNumerically("<", ceiling/10))
		}
	})

	// Guards against retries beyond the bound that doc.go states.
	It("keeps the bound over any interval", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b, now := newBudget(), start
			taken, allowed := 0, fulmarbudget.Burst
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				passed := time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond
				now = now.Add(passed)
				allowed += passed.Seconds()
				if rapid.Bool().Draw(t, "earn") {
					b.Earn(now, "a")
					allowed += 0.1
				}
				for range rapid.IntRange(0, 5).Draw(t, "retries") {
					if b.Take(now, "a") {
						taken++
					}
				}
				if float64(taken) > allowed+1e-6 {
					t.Fatalf("%d retries, allowed %v", taken, allowed)
				}
			}
		})
	})
})

func ExampleBudget() {
	b := fulmarbudget.New(0.1, 1, rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	fmt.Println(b.Take(now, "a"), b.Take(now, "a"))
	// Output: true false
}

func BenchmarkBudget(b *testing.B) {
	for _, groups := range []int{10, 1000} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			budget, i := newBudget(), 0
			names := make([]string, groups)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 1) % groups
				budget.Earn(start, names[i])
				budget.Take(start, names[i])
			}
		})
	}
}
