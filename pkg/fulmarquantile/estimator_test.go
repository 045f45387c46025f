package fulmarquantile_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarquantile"
)

// Guards against a quantile that is off by more than the width of a bucket.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := fulmarquantile.New(1 << 30) // no decay
		list := rapid.SliceOfN(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)), 1, 200).Draw(t, "durations")
		for _, d := range list {
			e.Add(time.Duration(d))
		}
		slices.Sort(list)
		q := rapid.Float64Range(0.01, 1).Draw(t, "q")
		i := int(q*float64(len(list))+1-1e-6) - 1 // the sums of the estimator are rounded
		exact := float64(list[max(i, 0)])
		got := float64(e.Quantile(q))
		if got < exact*0.999 || got > exact*1.11 {
			t.Fatalf("quantile %g of %d durations is %v, want %v", q, len(list), time.Duration(got), time.Duration(exact))
		}
	})
}

func TestEstimator(t *testing.T) {
	t.Run("empty", func(t *testing.T) {
		g := NewWithT(t)
		e := fulmarquantile.New(10)
		g.Expect(e.Quantile(0.5)).To(BeZero())
		g.Expect(e.Count()).To(BeZero())
	})

	// Guards against an estimate that does not follow a change, and against weights that overflow.
	t.Run("follows a change", func(t *testing.T) {
		g := NewWithT(t)
		e := fulmarquantile.New(100)
		for range 100_000 {
			e.Add(time.Second)
		}
		g.Expect(e.Count()).To(BeNumerically("~", 100, 2))
		for range 500 {
			e.Add(10 * time.Millisecond)
		}
		g.Expect(e.Quantile(0.95)).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
	})

	t.Run("durations beyond the buckets", func(t *testing.T) {
		g := NewWithT(t)
		e := fulmarquantile.New(10)
		e.Add(-time.Second)
		g.Expect(e.Quantile(1)).To(Equal(time.Millisecond))
		e.Add(1000 * time.Hour)
		g.Expect(e.Quantile(1)).To(BeNumerically(">", 9*time.Minute))
	})
}

func BenchmarkAdd(b *testing.B) {
	e, random := fulmarquantile.New(1000), rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		e.Add(time.Duration(random.IntN(int(time.Second))))
	}
}
