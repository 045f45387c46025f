package fulmarreach_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreach"
)

var (
	start   = time.Unix(1000, 0)
	targetA = fulmarrange.Incarnation{ID: "a", Born: 1}
)

// harness is a board with a clock.
type harness struct {
	*fulmarreach.Board
	g   *WithT
	now time.Time
}

func newHarness(t *testing.T) *harness {
	return &harness{fulmarreach.New(), NewWithT(t), start}
}

// fail lets orders fail, one at once and one each 100 ms for the given time.
func (h *harness) fail(d time.Duration, unsent bool) {
	for end := h.now.Add(d); ; h.now = h.now.Add(100 * time.Millisecond) {
		h.RecordFailure(h.now, targetA, unsent)
		if !h.now.Before(end) {
			return
		}
	}
}

// answer lets the target answer each probe that is due within the given time.
func (h *harness) answer(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		if wait, ok := h.UntilProbe(h.now, targetA); ok && wait <= 0 {
			h.RecordAnswer(h.now, targetA)
		}
	}
}

// expectReachable checks the judgement, and that a lost target is asked and no other.
func (h *harness) expectReachable(reachable bool, why string) {
	h.g.THelper()
	h.g.Expect(h.State(h.now, targetA).Reachable).To(Equal(reachable), why)
	_, asked := h.UntilProbe(h.now, targetA)
	h.g.Expect(asked).To(Equal(!reachable), why)
}

func TestLoss(t *testing.T) {
	// Guards against keys that move from target to target because each is considered lost after two unanswered orders.
	t.Run("distinguishes an unresponsive target from an unreachable one", func(t *testing.T) {
		h := newHarness(t)
		h.fail(200*time.Millisecond, true)
		h.g.Expect(h.State(h.now, targetA)).To(Equal(fulmarreach.State{Reachable: true, Failures: 3, Failing: 200 * time.Millisecond, Unsent: true}))
		h.fail(100*time.Millisecond, false)
		h.g.Expect(h.State(h.now, targetA)).To(Equal(fulmarreach.State{Reachable: true, Failures: 5, Failing: 300 * time.Millisecond}))
		h.fail(1200*time.Millisecond, false)
		h.expectReachable(false, "1.5 s without an answer")
	})
	t.Run("one failure", func(t *testing.T) {
		h := newHarness(t)
		h.RecordFailure(h.now, targetA, true)
		h.now = h.now.Add(time.Minute)
		h.expectReachable(true, "a single order")
	})
	t.Run("an answer in between", func(t *testing.T) {
		h := newHarness(t)
		for range 10 {
			h.fail(200*time.Millisecond, true)
			h.RecordAnswer(h.now, targetA)
		}
		h.expectReachable(true, "answers")
	})
}

func TestReturn(t *testing.T) {
	// Guards against a judgement that nothing ends, as the target has no keys and so is sent no other orders.
	t.Run("after a trial", func(t *testing.T) {
		h := newHarness(t)
		h.fail(time.Second, true)
		h.expectReachable(false, "lost")
		h.answer(1400 * time.Millisecond)
		h.expectReachable(false, "0.9 s after the first answer")
		h.answer(300 * time.Millisecond)
		h.expectReachable(true, "1.2 s after the first answer")
	})
	t.Run("time alone ends nothing", func(t *testing.T) {
		h := newHarness(t)
		h.fail(time.Second, true)
		h.RecordAnswer(h.now, targetA)
		h.now = h.now.Add(time.Hour)
		h.expectReachable(false, "one answer")
	})
	// Guards against keys given to a target that comes back for a moment.
	t.Run("a failure restarts the trial", func(t *testing.T) {
		h := newHarness(t)
		h.fail(time.Second, true)
		for range 10 {
			h.answer(1400 * time.Millisecond)
			h.RecordFailure(h.now, targetA, true)
			h.expectReachable(false, "0.9 s after the first answer")
		}
	})
	t.Run("the trial doubles for relapses", func(t *testing.T) {
		h := newHarness(t)
		for _, trial := range []time.Duration{1, 2, 4, 8, 8} {
			h.fail(time.Second, true)
			h.g.Expect(h.State(h.now, targetA).Trial).To(Equal(trial * time.Second))
			h.answer(trial*time.Second + 300*time.Millisecond)
			h.expectReachable(false, "before the end of the trial")
			h.answer(time.Second)
			h.expectReachable(true, "after the trial")
			h.now = h.now.Add(10 * time.Second)
		}
		h.now = h.now.Add(20 * time.Second)
		h.fail(time.Second, true)
		h.g.Expect(h.State(h.now, targetA).Trial).To(Equal(time.Second), "long after the last return")
	})
	t.Run("after the loss of its data centre", func(t *testing.T) {
		h := newHarness(t)
		h.RecordLoss(h.now, targetA)
		h.expectReachable(false, "lost")
		wait, _ := h.UntilProbe(h.now, targetA)
		h.now = h.now.Add(wait)
		h.RecordLoss(h.now, targetA)
		wait, _ = h.UntilProbe(h.now, targetA)
		h.g.Expect(wait).To(BeZero(), "the loss that is known delays no probe")
		h.answer(1200 * time.Millisecond)
		h.expectReachable(true, "1.2 s after the first answer")
	})
	t.Run("a grant ends the judgement", func(t *testing.T) {
		h := newHarness(t)
		h.fail(time.Second, true)
		h.RecordGrant(h.now, targetA)
		h.expectReachable(true, "holds keys")
	})
	t.Run("the next incarnation starts without it", func(t *testing.T) {
		h := newHarness(t)
		h.fail(time.Second, true)
		h.g.Expect(h.State(h.now, fulmarrange.Incarnation{ID: "a", Born: 2})).To(Equal(fulmarreach.State{Reachable: true}))
	})
	t.Run("unlisted targets are forgotten", func(t *testing.T) {
		h := newHarness(t)
		h.fail(time.Second, true)
		h.Retain(func(string) bool { return false })
		h.expectReachable(true, "nothing is known")
	})
}

// Guards against a leader that spends its processor on probes: entries of lost targets stay listed while the store is away.
func TestProbeRate(t *testing.T) {
	const targets = 5000
	g, b := NewWithT(t), fulmarreach.New()
	life := func(i int) fulmarrange.Incarnation { return fulmarrange.Incarnation{ID: fmt.Sprint(i), Born: 1} }
	now := start
	for range 2 {
		for i := range targets {
			b.RecordFailure(now, life(i), true)
		}
		now = now.Add(300 * time.Millisecond)
	}
	probes := make(map[int]int)
	for range 60 {
		before := len(probes)
		sent := 0
		for end := now.Add(time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
			for i := range targets {
				if wait, ok := b.UntilProbe(now, life(i)); ok && wait <= 0 {
					b.RecordFailure(now, life(i), true)
					probes[i]++
					sent++
				}
			}
		}
		g.Expect(sent).To(BeNumerically("<=", 500), "probes in a second, after those of %d targets", before)
	}
	g.Expect(probes).To(HaveLen(targets))
}

// Any target that answers for long enough is reachable, whatever happened before, and needs no more probes.
func TestJudgementsEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				h.RecordAnswer(h.now, targetA)
			case 1:
				h.RecordGrant(h.now, targetA)
			default:
				h.RecordFailure(h.now, targetA, rapid.Bool().Draw(rt, "unsent"))
			}
		}
		h.answer(10 * time.Second)
		if s := h.State(h.now, targetA); !s.Reachable {
			rt.Fatalf("not reachable: %+v", s)
		}
	})
}

func ExampleBoard() {
	b := fulmarreach.New()
	b.RecordFailure(start, targetA, true)
	b.RecordFailure(start.Add(300*time.Millisecond), targetA, true)
	fmt.Println(b.State(start.Add(300*time.Millisecond), targetA).Reachable)
	// Output: false
}
