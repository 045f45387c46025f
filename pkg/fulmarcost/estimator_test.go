package fulmarcost_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcost"
)

const ms = time.Millisecond

func observe(e *fulmarcost.Estimator, kind string, used time.Duration, times int) {
	for range times {
		e.Observe("pay-desk", kind, used)
	}
}

func isLong(e *fulmarcost.Estimator, kind string) bool {
	_, long := e.Estimate("pay-desk", kind)
	return long
}

var _ = Describe("Estimator", func() {
	// Guards against wrong costs and classes of known and unknown kinds.
	It("estimates times and classes", func() {
		e := fulmarcost.New(8)
		observe(e, "GET pay", 5*ms, 100)
		observe(e, "POST payout", 500*ms, 3)
		for kind, want := range map[string]struct {
			cost time.Duration
			long bool
		}{"GET pay": {5 * ms, false}, "POST payout": {500 * ms, true}, "GET other": {5 * ms, false}} {
			cost, long := e.Estimate("pay-desk", kind)
			Expect(cost).To(BeNumerically("~", want.cost, want.cost/20), kind)
			Expect(long).To(Equal(want.long), kind)
		}
		cost, long := e.Estimate("shift-desk", "GET pay")
		Expect(cost).To(BeZero())
		Expect(long).To(BeFalse())
	})

	// Guards against classes from too few observations and from one outlier.
	It("is robust against few observations and outliers", func() {
		e := fulmarcost.New(8)
		observe(e, "a", ms, 5)
		observe(e, "b", time.Second, 5)
		Expect(isLong(e, "b")).To(BeFalse())
		observe(e, "a", ms, 50)
		observe(e, "a", time.Second, 1)
		Expect(isLong(e, "a")).To(BeFalse())
		observe(e, "c", time.Second, 1)
		Expect(isLong(e, "c")).To(BeFalse())
	})

	// Guards against a class that changes with each request near the bound.
	It("keeps the class of a kind near the bound", func() {
		e := fulmarcost.New(8)
		observe(e, "a", 10*ms, 2000)
		changes, last := 0, false
		for i := range 200 {
			observe(e, "b", time.Duration(70+20*(i%2))*ms, 1)
			if now := isLong(e, "b"); now != last {
				changes, last = changes+1, now
			}
		}
		Expect(changes).To(BeNumerically("<=", 1))
		observe(e, "b", 20*ms, 50)
		Expect(isLong(e, "b")).To(BeFalse())
	})

	// Guards against a flood of arbitrary kinds that displaces the ones in use.
	It("keeps kinds in use in a flood of new ones", func() {
		e := fulmarcost.New(8)
		observe(e, "a", ms, 50)
		observe(e, "long", time.Second, 2)
		for i := range 20_000 {
			observe(e, fmt.Sprint("kind", i), ms, 1)
		}
		Expect(isLong(e, "long")).To(BeTrue())
		Expect(e.Len()).To(BeNumerically("<=", 4096))
	})

	// Guards against a median outside the error that doc.go states.
	It("follows the median", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e := fulmarcost.New(8)
			times := rapid.SliceOfN(rapid.Int64Range(int64(10*time.Microsecond), int64(time.Hour)), 1, 300).Draw(t, "times")
			for _, d := range times {
				e.Observe("s", "k", time.Duration(d))
			}
			slices.Sort(times)
			want := float64(times[(len(times)-1)/2])
			got, _ := e.Estimate("s", "unknown")
			if float64(got) < want*0.95 || float64(got) > want*1.05 {
				t.Fatalf("median %v, want %v", got, time.Duration(want))
			}
		})
	})
})

func ExampleEstimator() {
	e := fulmarcost.New(8)
	for range 100 {
		e.Observe("pay-desk", "GET pay", 5*time.Millisecond)
	}
	for range 2 {
		e.Observe("pay-desk", "POST payout", time.Second)
	}
	fmt.Println(e.Estimate("pay-desk", "POST payout"))
	// Output: 1s true
}

func BenchmarkEstimator(b *testing.B) {
	for _, kinds := range []int{1, 100, 4000} {
		b.Run(fmt.Sprintf("kinds=%d", kinds), func(b *testing.B) {
			e := fulmarcost.New(8)
			names := make([]string, kinds)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 1) % kinds
				e.Observe("s", names[i], time.Duration(i)*ms)
				e.Estimate("s", names[i])
			}
		})
	}
}
