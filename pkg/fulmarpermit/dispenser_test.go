package fulmarpermit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
)

var start = time.Unix(1000, 0)

// Guards against more permits in a span than the limit allows in it, with those of a quarter of a second and one more.
func TestPermitsOfAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fulmarpermit.New()
		rate := rapid.Float64Range(0.25, 200).Draw(t, "rate")
		now := start
		var sends []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			maxWait := time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
			wait, ok := d.Take(now, "x", rate, maxWait)
			if ok != (wait <= maxWait) || wait < 0 {
				t.Fatalf("wait %v of at most %v, granted: %t", wait, maxWait, ok)
			}
			if ok {
				sends = append(sends, now.Add(wait))
			}
		}
		for i, from := range sends {
			for j := i; j < len(sends); j++ {
				span := sends[j].Sub(from) + 250*time.Millisecond
				if n := j - i + 1; float64(n) > rate*span.Seconds()+1+1e-3 {
					t.Fatalf("%d requests in %v at a limit of %.2f", n, sends[j].Sub(from), rate)
				}
			}
		}
	})
}

func TestDispenser(t *testing.T) {
	t.Run("refuses for the time without a permit", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		_, ok := d.Take(start, "x", 2, 0)
		g.Expect(ok).To(BeTrue())
		wait, ok := d.Take(start, "x", 2, 0)
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(Equal(500 * time.Millisecond))
		_, ok = d.Take(start.Add(wait), "x", 2, 0)
		g.Expect(ok).To(BeTrue())
	})
	// Guards against a limit of zero that never ends, as no request is sent whose answer could end it.
	t.Run("limit of zero", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		_, ok := d.Take(start, "x", 0, 0)
		g.Expect(ok).To(BeTrue())
		_, ok = d.Take(start.Add(3*time.Second), "x", 0, 0)
		g.Expect(ok).To(BeFalse())
		_, ok = d.Take(start.Add(4*time.Second), "x", 0, 0)
		g.Expect(ok).To(BeTrue())
	})
	t.Run("raised limit counts at once", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		d.Take(start, "x", 0, 0)
		_, ok := d.Take(start.Add(100*time.Millisecond), "x", 10, 0)
		g.Expect(ok).To(BeTrue())
	})
	t.Run("other targets", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		d.Take(start, "x", 1, 0)
		_, ok := d.Take(start, "y", 1, 0)
		g.Expect(ok).To(BeTrue())
	})
}
