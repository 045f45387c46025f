package fulmarrotation_test

import (
	"fmt"
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
