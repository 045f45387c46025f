package fulmarsilence_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarsilence"
)

var start = time.Unix(1000, 0)

const callTimeout = 500 * time.Millisecond

// fail records n calls to a data centre that were made after the given time and failed after callTimeout.
func fail(b *fulmarsilence.Board, after time.Duration, n int) (now time.Time) {
	now = start.Add(after + callTimeout)
	for range n {
		b.RecordFailure(start.Add(after), now, "a")
	}
	return now
}

func TestBoard(t *testing.T) {
	expect := func(g *WithT, b *fulmarsilence.Board, now time.Time, silent, lost bool) {
		g.ExpectWithOffset(1, b.IsSilent(now, "a")).To(Equal(silent), "silent")
		g.ExpectWithOffset(1, b.IsLost(now, "a")).To(Equal(lost), "lost")
	}
	t.Run("a lost data centre", func(t *testing.T) {
		g, b := NewWithT(t), fulmarsilence.New()
		b.RecordAnswer(start, "a")
		now := fail(b, 10*time.Millisecond, 8)
		expect(g, b, now, true, false)
		b.RecordAnswer(now.Add(time.Millisecond), "b")
		expect(g, b, fail(b, 800*time.Millisecond, 1), true, true)
		now = start.Add(2 * time.Second)
		g.Expect(b.MayProbe(now, "a")).To(BeTrue())
		g.Expect(b.MayProbe(now, "a")).To(BeFalse())
		g.Expect(b.RecordAnswer(now, "a")).To(BeTrue())
		expect(g, b, now, false, false)
	})
	// Guards against a data centre that is given up because some of its targets have ended, while others answer.
	t.Run("some targets are lost", func(t *testing.T) {
		g, b := NewWithT(t), fulmarsilence.New()
		for i := range 20 {
			at := time.Duration(i) * 100 * time.Millisecond
			b.RecordAnswer(start.Add(at), "a")
			expect(g, b, fail(b, at, 7), false, false)
		}
	})
	// Guards against a caller that was frozen, or cut off from all, and gives up the targets of one data centre after another.
	t.Run("calls to all fail at once", func(t *testing.T) {
		g, b := NewWithT(t), fulmarsilence.New()
		b.RecordAnswer(start, "b")
		now := fail(b, 10*time.Millisecond, 100)
		expect(g, b, now, true, false)
		b.RecordAnswer(now.Add(time.Millisecond), "b")
		expect(g, b, now.Add(time.Millisecond), true, false)
	})
	// Guards against an answer that is taken back by the failure of a call that was made before.
	t.Run("an earlier call fails later", func(t *testing.T) {
		g, b := NewWithT(t), fulmarsilence.New()
		b.RecordAnswer(start.Add(100*time.Millisecond), "a")
		expect(g, b, fail(b, 0, 100), false, false)
	})
}

func ExampleBoard() {
	b := fulmarsilence.New()
	b.RecordAnswer(start, "a")
	now := fail(b, time.Millisecond, 8)
	fmt.Println(b.IsSilent(now, "a"))
	// Output: true
}
