package fulmarmember_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const timeout = 500 * time.Millisecond

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func peer(id string, incarnation uint64) fulmarmember.Peer {
	return fulmarmember.Peer{ID: id, Incarnation: incarnation}
}

var _ = Describe("View", func() {
	var v *fulmarmember.Detector
	BeforeEach(func() { v = fulmarmember.New(timeout) })

	// Guards against a detector that is late by one heartbeat, which would exceed the budget after a loss.
	It("takes a silent peer as down after the timeout", func() {
		Expect(v.Observe(at(0), peer("a", 1))).To(BeTrue())
		Expect(v.State(at(499), "a")).To(Equal(fulmarmember.Live))
		Expect(v.State(at(500), "a")).To(Equal(fulmarmember.Down))
		Expect(v.State(at(0), "unknown")).To(Equal(fulmarmember.Down))
	})

	// Guards against a delayed heartbeat of a dead process that hides its successor.
	It("ignores older incarnations and replaces by newer ones", func() {
		v.Observe(at(0), peer("a", 2))
		Expect(v.Observe(at(400), peer("a", 1))).To(BeFalse())
		Expect(v.State(at(600), "a")).To(Equal(fulmarmember.Down))
		Expect(v.Observe(at(600), peer("a", 3))).To(BeTrue())
		Expect(v.Peers(nil)).To(Equal([]fulmarmember.Peer{peer("a", 3)}))
	})

	// Guards against a peer of the platform's lagging list that counts as live without a heartbeat.
	It("learns a peer as down and keeps what was heard", func() {
		v.Add(peer("a", 1))
		Expect(v.State(at(0), "a")).To(Equal(fulmarmember.Down))
		v.Observe(at(0), peer("a", 1))
		v.Add(fulmarmember.Peer{ID: "a", Incarnation: 1, Control: "stale"})
		Expect(v.State(at(1), "a")).To(Equal(fulmarmember.Live))
		Expect(v.Peers(nil)[0].Control).To(BeEmpty())
	})

	// Guards against new work for a leaving instance (I6), and against an unstable order of peers.
	It("lists live peers in order of id without leaving ones", func() {
		v.Observe(at(0), peer("c", 1))
		v.Observe(at(0), fulmarmember.Peer{ID: "b", Leaving: true})
		v.Observe(at(0), peer("a", 1))
		Expect(v.State(at(1), "b")).To(Equal(fulmarmember.Leaving))
		Expect(v.Live(nil, at(1))).To(Equal([]fulmarmember.Peer{peer("a", 1), peer("c", 1)}))
		v.Remove("a")
		Expect(v.Live(nil, at(1))).To(Equal([]fulmarmember.Peer{peer("c", 1)}))
	})
})

func ExampleDetector() {
	v := fulmarmember.New(500 * time.Millisecond)
	now := time.Unix(0, 0)
	v.Observe(now, fulmarmember.Peer{ID: "a", Incarnation: 1})
	fmt.Println(v.State(now, "a"), v.State(now.Add(time.Second), "a"))
	// Output: live down
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{3, 27, 81} {
		v := fulmarmember.New(timeout)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v.Observe(at(i), fulmarmember.Peer{ID: "member", Incarnation: uint64(i)})
			}
		})
	}
}
