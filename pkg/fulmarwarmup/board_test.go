package fulmarwarmup_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

// Guards against a target that is taken for warm as an older statement arrives late or another incarnation is warm, and against
// statements of targets that are gone or that have run out.
func TestBoard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board, now := fulmarwarmup.New(), start
		until := make(map[fulmarrange.Incarnation]time.Time) // the latest end that was stated in time
		draw := func(t *rapid.T) fulmarrange.Incarnation {
			return fulmarrange.Incarnation{ID: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id"), Born: rapid.Int64Range(1, 2).Draw(t, "born")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"statement": func(t *rapid.T) {
				target := draw(t)
				end := now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, "left")) * time.Millisecond)
				wasCold := until[target].After(now)
				began := board.Record(target, now, end)
				if began != (!wasCold && end.After(now)) {
					t.Fatalf("%v: new: %t, was cold: %t", target, began, wasCold)
				}
				if end.After(now) && end.After(until[target]) {
					until[target] = end
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"target gone": func(t *rapid.T) {
				gone := draw(t).ID
				board.Retain(func(id string) bool { return id != gone })
				for target := range until {
					if target.ID == gone {
						delete(until, target)
					}
				}
			},
			"": func(t *rapid.T) {
				for _, target := range []fulmarrange.Incarnation{{ID: "x", Born: 1}, {ID: "x", Born: 2}, {ID: "y", Born: 1}, {ID: "y", Born: 2}} {
					if left := board.Left(target, now); left != max(0, until[target].Sub(now)) {
						t.Fatalf("%v: %v left, cold until %v after the start", target, left, until[target].Sub(start))
					}
				}
			},
		})
	})
}
