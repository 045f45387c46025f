package fulmarevacuation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarevacuation"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var schedule = fulmarevacuation.Schedule{Time: 2500 * time.Millisecond, Step: 200 * time.Millisecond}

func holders(rates ...float64) (out []fulmarevacuation.Holder) {
	for i, rate := range rates {
		out = append(out, fulmarevacuation.Holder{Target: fulmarrange.Incarnation{ID: fmt.Sprint("t", i), Born: 1}, Rate: rate})
	}
	return out
}

// replay runs the schedule from a time after the begin of the evacuation on, and returns the rates that left in each step.
func replay(s fulmarevacuation.Schedule, left []fulmarevacuation.Holder, from time.Duration) (steps [][]float64, end time.Duration) {
	for end = from; len(left) > 0 && len(steps) < 1000; end += s.Step {
		for i := range left {
			left[i].For = end
		}
		due := s.Due(left)
		var rates []float64
		left = slices.DeleteFunc(left, func(h fulmarevacuation.Holder) bool {
			leaves := slices.Contains(due, h.Target)
			if leaves {
				rates = append(rates, h.Rate)
			}
			return leaves
		})
		steps = append(steps, rates)
	}
	return steps, end
}

// Guards against keys that are handed over too late, against many of them that are handed over at once although there is time,
// and against a step in which nothing leaves.
func TestPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 200).Draw(t, "rates")
		from := time.Duration(rapid.IntRange(0, 4000).Draw(t, "from")) * time.Millisecond
		g := NewWithT(t)
		total, largest := 0.0, slices.Max(rates)
		for _, r := range rates {
			total += r
		}
		steps, end := replay(schedule, holders(rates...), from)
		g.Expect(end).To(BeNumerically("<=", max(schedule.Time, from)+schedule.Step))
		available := max(1, float64((schedule.Time-from)/schedule.Step))
		for _, s := range steps {
			g.Expect(s).NotTo(BeEmpty())
			sum := 0.0
			for _, r := range s {
				sum += r
			}
			g.Expect(sum).To(BeNumerically("<=", total/available+largest+1e-6))
		}
	})
}

func TestOrder(t *testing.T) {
	// Guards against a hot key that is handed over last, when the plan can no longer move other keys out of its way.
	t.Run("busiest first", func(t *testing.T) {
		g := NewWithT(t)
		steps, _ := replay(schedule, holders(1, 9, 3, 5), 0)
		g.Expect(steps[0]).To(Equal([]float64{9}))
		g.Expect(slices.Concat(steps...)).To(Equal([]float64{9, 5, 3, 1}))
	})
	// Guards against keys without load that are all handed over at once.
	t.Run("no load", func(t *testing.T) {
		g := NewWithT(t)
		steps, _ := replay(schedule, holders(make([]float64, 24)...), 0)
		for _, s := range steps {
			g.Expect(len(s)).To(BeNumerically("<=", 2))
		}
	})
	// Guards against a daemon that starts during an evacuation and takes its begin for now.
	t.Run("known too late", func(t *testing.T) {
		g := NewWithT(t)
		steps, _ := replay(schedule, holders(1, 2, 3), time.Hour)
		g.Expect(steps).To(HaveLen(1))
	})
	t.Run("none", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(schedule.Due(nil)).To(BeEmpty())
	})
}
