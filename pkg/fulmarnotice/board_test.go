package fulmarnotice_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var (
	start = time.Unix(1000, 0)
	x     = fulmarrange.Incarnation{ID: "x", Born: 1}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func expectAdmitted(g *WithT, b *fulmarnotice.Board, now time.Time, want bool) {
	_, ok := b.Admit(x, now)
	g.ExpectWithOffset(1, ok).To(Equal(want))
}

// Guards against requests to a target that leaves, after another answer, another report or its next start.
func TestLeaving(t *testing.T) {
	const drain = 2 * time.Second
	t.Run("the earliest statement counts", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		g.Expect(b.RecordLeaving(x, at(time.Second))).To(BeTrue())
		g.Expect(b.RecordLeaving(x, at(5*time.Second))).To(BeFalse())
		b.RecordAnswer(x, at(5*time.Second))
		g.Expect(b.Get(x).AcceptsRequests(at(3*time.Second-1), drain)).To(BeTrue())
		g.Expect(b.Get(x).AcceptsRequests(at(3*time.Second), drain)).To(BeFalse())
		b.RecordLeaving(x, at(0))
		g.Expect(b.Get(x).AcceptsRequests(at(2*time.Second), drain)).To(BeFalse())
	})
	t.Run("ends with the incarnation", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		b.RecordLeaving(x, start)
		g.Expect(b.Get(fulmarrange.Incarnation{ID: "x", Born: 2}).IsLeaving()).To(BeFalse())
		b.Retain(func(string) bool { return false })
		g.Expect(b.Leaving()).To(BeEmpty())
	})
}

// Guards against requests to a target within its pause, and against all requests that waited for its end at once.
func TestPause(t *testing.T) {
	t.Run("no request until the end", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		expectAdmitted(g, b, start, true)
		b.RecordPause(x, at(3*time.Second))
		wait, ok := b.Admit(x, at(time.Second))
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(Equal(2 * time.Second))
		expectAdmitted(g, b, at(3*time.Second), true)
	})
	t.Run("the later end counts", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		g.Expect(b.RecordPause(x, at(3*time.Second))).To(BeTrue())
		g.Expect(b.RecordPause(x, at(2*time.Second))).To(BeFalse())
		expectAdmitted(g, b, at(2500*time.Millisecond), false)
		g.Expect(b.RecordPause(x, at(4*time.Second))).To(BeTrue())
		expectAdmitted(g, b, at(3500*time.Millisecond), false)
	})
	t.Run("an answer to an earlier request does not end it", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		b.RecordPause(x, at(3*time.Second))
		b.RecordAnswer(x, at(time.Second))
		expectAdmitted(g, b, at(2*time.Second), false)
		expectAdmitted(g, b, at(3*time.Second), true)
		expectAdmitted(g, b, at(3*time.Second), false)
	})
	t.Run("one request first", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		b.RecordPause(x, at(time.Second))
		expectAdmitted(g, b, at(2*time.Second), true)
		expectAdmitted(g, b, at(2*time.Second), false)
		b.RecordAnswer(x, at(2100*time.Millisecond))
		expectAdmitted(g, b, at(2100*time.Millisecond), true)
		expectAdmitted(g, b, at(2100*time.Millisecond), true)
	})
	t.Run("the first request fails", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		b.RecordPause(x, at(time.Second))
		expectAdmitted(g, b, at(2*time.Second), true)
		b.RecordFailure(x)
		expectAdmitted(g, b, at(2*time.Second), true)
		expectAdmitted(g, b, at(2*time.Second), false)
	})
	t.Run("the first request is not answered", func(t *testing.T) {
		g := NewWithT(t)
		b := fulmarnotice.New()
		b.RecordPause(x, at(time.Second))
		expectAdmitted(g, b, at(2*time.Second), true)
		expectAdmitted(g, b, at(3900*time.Millisecond), false)
		expectAdmitted(g, b, at(4*time.Second), true)
	})
}

// Guards against a pause that hides that its target leaves, or the other way round.
func TestPauseOfLeavingTarget(t *testing.T) {
	g := NewWithT(t)
	b := fulmarnotice.New()
	b.RecordLeaving(x, start)
	b.RecordPause(x, at(time.Second))
	g.Expect(b.Get(x).IsLeaving()).To(BeTrue())
	expectAdmitted(g, b, at(500*time.Millisecond), false)
	g.Expect(b.Leaving()).To(Equal(map[fulmarrange.Incarnation]time.Time{x: start}))
}
