package fulmarpermit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
)

var start = time.Unix(1000, 0)

// Guards against more permits in a span than the limit allows in it, with those of a quarter of a second and three
// more.
func TestPermitsOfAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fulmarpermit.New()
		rate := rapid.Float64Range(0.25, 200).Draw(t, "rate")
		now := start
		var sends []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			maxWait := time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
			priority := rapid.IntRange(0, 3).Draw(t, "priority")
			wait, ok := d.Take(now, rate, fulmarpermit.Request{Target: "x", MaxWait: maxWait, Priority: priority})
			if ok != (wait <= maxWait) || wait < 0 {
				t.Fatalf("wait %v of at most %v, granted: %t", wait, maxWait, ok)
			}
			if ok {
				sends = append(sends, now.Add(wait))
			}
		}
		for i, from := range sends {
			for j := i; j < len(sends); j++ {
				span := sends[j].Sub(from)
				if n := j - i + 1; float64(n) > rate*(span.Seconds()+0.25)+3+1e-3 {
					t.Fatalf("%d requests in %v at a limit of %.2f", n, span, rate)
				}
			}
		}
	})
}

func TestDispenser(t *testing.T) {
	t.Run("refuses for the time without a permit", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		_, ok := d.Take(start, 2, fulmarpermit.Request{Target: "x"})
		g.Expect(ok).To(BeTrue())
		wait, ok := d.Take(start, 2, fulmarpermit.Request{Target: "x"})
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(Equal(500 * time.Millisecond))
		_, ok = d.Take(start.Add(wait), 2, fulmarpermit.Request{Target: "x"})
		g.Expect(ok).To(BeTrue())
	})
	// Guards against a limit of zero that never ends, as no request is sent whose answer could end it.
	t.Run("limit of zero", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		_, ok := d.Take(start, 0, fulmarpermit.Request{Target: "x"})
		g.Expect(ok).To(BeTrue())
		_, ok = d.Take(start.Add(3*time.Second), 0, fulmarpermit.Request{Target: "x"})
		g.Expect(ok).To(BeFalse())
		_, ok = d.Take(start.Add(4*time.Second), 0, fulmarpermit.Request{Target: "x"})
		g.Expect(ok).To(BeTrue())
	})
	// Guards against requests of a low priority that never get a permit while there are no others.
	t.Run("low priority alone", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		taken := 0
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			if _, ok := d.Take(start.Add(at), 5, fulmarpermit.Request{Target: "x", Priority: 2}); ok {
				taken++
			}
		}
		g.Expect(taken).To(BeNumerically("~", 50, 3))
	})
	t.Run("raised limit counts at once", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		d.Take(start, 0, fulmarpermit.Request{Target: "x"})
		_, ok := d.Take(start.Add(100*time.Millisecond), 10, fulmarpermit.Request{Target: "x"})
		g.Expect(ok).To(BeTrue())
	})
	// Guards against many requests of a low priority that take all permits of a small limit.
	t.Run("urgent requests come first", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		urgent, other := 0, 0
		for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
			if _, ok := d.Take(start.Add(at), 5, fulmarpermit.Request{Target: "x", MaxWait: 50 * time.Millisecond, Priority: 2}); ok {
				other++
			}
			if at%(400*time.Millisecond) == 0 {
				if _, ok := d.Take(start.Add(at), 5, fulmarpermit.Request{Target: "x"}); ok {
					urgent++
				}
			}
		}
		g.Expect(urgent).To(Equal(50), "of 50")
		g.Expect(urgent+other).To(BeNumerically("~", 100, 3), "the limit is used")
	})
	t.Run("other targets", func(t *testing.T) {
		g := NewWithT(t)
		d := fulmarpermit.New()
		d.Take(start, 1, fulmarpermit.Request{Target: "x"})
		_, ok := d.Take(start, 1, fulmarpermit.Request{Target: "y"})
		g.Expect(ok).To(BeTrue())
	})
}
