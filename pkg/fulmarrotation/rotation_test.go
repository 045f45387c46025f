package fulmarrotation_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrotation"
)

// Guards against daemons that together send more than half of a limit while nobody dispenses permits, however many they
// are and whenever their requests come.
func TestFleetSharesHalfOfLimit(t *testing.T) {
	for _, daemons := range []int{27, 120, 295} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				rate := rapid.Float64Range(1, 60).Draw(t, "rate")
				rotations := make([]*fulmarrotation.Rotation, daemons)
				for i := range rotations {
					rotations[i] = fulmarrotation.New(fmt.Sprintf("d%d", i))
				}
				now := time.Unix(1000, int64(rapid.IntRange(0, 1e9).Draw(t, "start")))
				quiet := now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "quiet")) * time.Second)
				sends := 0
				for end := quiet.Add(4 * time.Second); quiet.Before(end); quiet = quiet.Add(20 * time.Millisecond) {
					for _, r := range rotations {
						if r.Take(quiet, "x", rate, daemons) {
							sends++
						}
					}
				}
				// The turns of daemons are at random times, so the tolerance of the users' rule covers their variance.
				if allowed := 0.5*rate*4.5 + rate*4*0.5 + 5; float64(sends) > allowed {
					t.Fatalf("%d requests in 4 s at a limit of %.1f", sends, rate)
				}
			})
		})
	}
}

func TestTurn(t *testing.T) {
	g := NewWithT(t)
	r := fulmarrotation.New("d")
	taken := 0
	for at := time.Duration(0); at < 100*time.Second; at += 10 * time.Millisecond {
		if r.Take(time.Unix(1000, 0).Add(at), "x", 2, 10) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("~", 10, 1), "a request every 10 s")
	r.Retain(func(string) bool { return false })
}

// Guards against a panic, and against refusals, where targets state a limit that no daemon can reach: the period of its turns is too
// short to be measured.
func TestLimitThatBoundsNothing(t *testing.T) {
	for _, rate := range []float64{4e7, 2e9, 4e9, 1 << 63, math.MaxFloat64} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			g := NewWithT(t)
			r := fulmarrotation.New("d")
			for i := range 100 {
				g.Expect(r.Take(time.Unix(1000, int64(i)), "x", rate, 5)).To(BeTrue())
			}
		})
	}
}

// Guards against daemons whose turns end beyond some limit that still binds them.
func TestHighLimit(t *testing.T) {
	g := NewWithT(t)
	const rate, daemons = 1e6, 5
	r := fulmarrotation.New("d")
	taken := 0
	for at := time.Duration(0); at < time.Second/10; at += time.Microsecond {
		if r.Take(time.Unix(1000, 0).Add(at), "x", rate, daemons) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("<=", rate/2/daemons/10+1))
}
