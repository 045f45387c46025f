package fulmarlimit_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
)

var start = time.Unix(1000, 0)

// at returns a time in milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limited(rate float64, sent, received int) fulmarlimit.Statement {
	return fulmarlimit.Statement{Target: "x", Limited: true, Rate: rate, SentAt: at(sent), ReceivedAt: at(received)}
}

func unlimited(sent, received int) fulmarlimit.Statement {
	return fulmarlimit.Statement{Target: "x", SentAt: at(sent), ReceivedAt: at(received)}
}

func expectRate(g Gomega, b *fulmarlimit.Board, rate float64, ok bool) {
	got, limited := b.Rate("x")
	g.Expect(limited).To(Equal(ok))
	if ok {
		g.Expect(got).To(Equal(rate))
	}
}

func TestBoard(t *testing.T) {
	for _, c := range []struct {
		name       string
		statements []fulmarlimit.Statement
		rate       float64
		limited    bool
		version    int64
	}{
		{"no statement", nil, 0, false, 0},
		{"answer without a limit", []fulmarlimit.Statement{unlimited(0, 10)}, 0, false, 0},
		{"limit", []fulmarlimit.Statement{limited(8, 0, 10)}, 8, true, 1},
		{"limit of zero", []fulmarlimit.Statement{limited(0, 0, 10)}, 0, true, 1},
		// Guards against a damaged message of another daemon that makes the rate of permits undefined.
		{"no number", []fulmarlimit.Statement{limited(math.NaN(), 0, 10)}, 0, false, 0},
		{"negative limit", []fulmarlimit.Statement{limited(-1, 0, 10)}, 0, false, 0},
		{"infinite limit", []fulmarlimit.Statement{limited(math.Inf(1), 0, 10)}, 0, false, 0},
		{"repeated limit", []fulmarlimit.Statement{limited(8, 0, 10), limited(8, 20, 30)}, 8, true, 1},
		{"changed limit", []fulmarlimit.Statement{limited(8, 0, 10), limited(4, 20, 30)}, 4, true, 2},
		{"older limit from another daemon", []fulmarlimit.Statement{limited(4, 20, 30), limited(8, 0, 10)}, 4, true, 1},
		{"end of the limit", []fulmarlimit.Statement{limited(8, 0, 10), unlimited(11, 20)}, 0, false, 2},
		// Guards against a limit that ends by an answer that the target made before it stated the limit.
		{"answer to an earlier request without a limit", []fulmarlimit.Statement{limited(8, 0, 10), unlimited(5, 20)}, 8, true, 1},
		// Guards against a limit that another daemon brings back after its end.
		{"older limit after the end", []fulmarlimit.Statement{limited(8, 0, 10), unlimited(11, 20), limited(8, 0, 15)}, 0, false, 2},
		{"limit after the end", []fulmarlimit.Statement{limited(8, 0, 10), unlimited(11, 20), limited(8, 25, 30)}, 8, true, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := fulmarlimit.New()
			for _, s := range c.statements {
				b.Record(s)
			}
			expectRate(g, b, c.rate, c.limited)
			g.Expect(b.Version()).To(Equal(c.version))
		})
	}
	// Guards against all limits of a fleet that are sent to each daemon whenever one of them changes.
	t.Run("changes since a version", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarlimit.New()
		b.Record(limited(8, 0, 10))
		other := limited(5, 0, 20)
		other.Target = "y"
		b.Record(other)
		b.Record(limited(8.1, 20, 30))
		g.Expect(b.Statements()).To(HaveLen(2))
		g.Expect(b.Changes(0, 1)).To(ConsistOf(HaveField("Target", "x")))
		g.Expect(b.Changes(1, 2)).To(ConsistOf(HaveField("Target", "y")))
		g.Expect(b.Changes(2, 2)).To(BeEmpty())
	})
	t.Run("forgets targets that are gone", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarlimit.New()
		b.Record(limited(8, 0, 10))
		b.Retain(func(string) bool { return false })
		expectRate(g, b, 0, false)
		g.Expect(b.Statements()).To(BeEmpty())
		g.Expect(b.Version()).To(Equal(int64(2)))
	})
}
