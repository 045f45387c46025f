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

var _ = Describe("Detector", func() {
	var d *fulmarmember.Detector
	BeforeEach(func() { d = fulmarmember.New(timeout) })

	// Guards against a detector that is late by one heartbeat, which would exceed the
	// time allowed for recovery after a loss.
	It("reports a peer without heartbeats as down after the timeout", func() {
		Expect(d.Observe(at(0), peer("a", 1))).To(BeTrue())
		Expect(d.State(at(499), "a")).To(Equal(fulmarmember.Live))
		Expect(d.State(at(500), "a")).To(Equal(fulmarmember.Down))
		Expect(d.State(at(0), "unknown")).To(Equal(fulmarmember.Down))
	})

	// Guards against a delayed heartbeat of a dead process that replaces the record of its successor.
	It("ignores older incarnations and replaces the record by newer ones", func() {
		d.Observe(at(0), peer("a", 2))
		Expect(d.Observe(at(400), peer("a", 1))).To(BeFalse())
		Expect(d.State(at(600), "a")).To(Equal(fulmarmember.Down))
		Expect(d.Observe(at(600), peer("a", 3))).To(BeTrue())
		Expect(d.Peers(nil)).To(Equal([]fulmarmember.Peer{peer("a", 3)}))
	})

	// Guards against a peer from the platform's list, which lags, that is reported as
	// live without a heartbeat.
	It("adds a peer as down and keeps the record of an observed one", func() {
		d.Add(peer("a", 1))
		Expect(d.State(at(0), "a")).To(Equal(fulmarmember.Down))
		d.Observe(at(0), peer("a", 1))
		d.Add(fulmarmember.Peer{ID: "a", Incarnation: 1, Control: "stale"})
		Expect(d.State(at(1), "a")).To(Equal(fulmarmember.Live))
		Expect(d.Peers(nil)[0].Control).To(BeEmpty())
	})

	// Guards against new work for a leaving instance (I6), and against an order of
	// peers that changes between calls.
	It("lists live peers in order of id and omits leaving ones", func() {
		d.Observe(at(0), peer("c", 1))
		d.Observe(at(0), fulmarmember.Peer{ID: "b", Leaving: true})
		d.Observe(at(0), peer("a", 1))
		Expect(d.State(at(1), "b")).To(Equal(fulmarmember.Leaving))
		Expect(d.Live(nil, at(1))).To(Equal([]fulmarmember.Peer{peer("a", 1), peer("c", 1)}))
		d.Remove("a")
		Expect(d.Live(nil, at(1))).To(Equal([]fulmarmember.Peer{peer("c", 1)}))
	})
})

func ExampleDetector() {
	d := fulmarmember.New(500 * time.Millisecond)
	now := time.Unix(0, 0)
	d.Observe(now, fulmarmember.Peer{ID: "a", Incarnation: 1})
	fmt.Println(d.State(now, "a"), d.State(now.Add(time.Second), "a"))
	// Output: live down
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{3, 27, 81} {
		d := fulmarmember.New(timeout)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.Observe(at(i), fulmarmember.Peer{ID: "member", Incarnation: uint64(i)})
			}
		})
	}
}
