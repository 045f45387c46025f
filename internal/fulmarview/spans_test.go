package fulmarview_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
)

const lastKey = 63

func drawSpans(t *rapid.T, name string) fulmarview.Spans {
	var out fulmarview.Spans
	for from := 0; from <= lastKey; {
		to := min(lastKey, from+rapid.IntRange(0, 20).Draw(t, name+" length"))
		target := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, name+" target"))
		out = out.Append(fulmarview.Span{From: from, To: to, Target: target, Ready: rapid.Bool().Draw(t, name+" ready"), Bounded: rapid.Bool().Draw(t, name+" bounded")})
		from = to + 1
	}
	return out
}

// Guards against daemons that route keys differently from their leader after they received only the differences.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawSpans(t, "old"), drawSpans(t, "next")
		changes := next.Diff(old)
		got := old.Apply(changes)
		for key := range lastKey + 1 {
			want, _ := next.Find(key)
			have, ok := got.Find(key)
			if !ok || have.Target != want.Target || have.Ready != want.Ready || have.Bounded != want.Bounded {
				t.Fatalf("key %d: got %+v, want %+v", key, have, want)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(next) {
			t.Fatalf("got %v, want %v", got, next)
		}
	})
}
