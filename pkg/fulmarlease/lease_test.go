package fulmarlease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarlease"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const window = 400 * time.Millisecond

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("Lease", func() {
	// Guards against a majority of too few members, and against an expiry counted
	// from the answer instead of from the request.
	It("expires a window after the oldest request of the newest majority", func() {
		l := fulmarlease.New("a", window)
		l.SetRoster([]string{"a", "b", "c", "d", "e"})
		l.Confirm("b", at(0))
		l.Confirm("x", at(5))
		Expect(l.Expiry()).To(BeZero())
		l.Confirm("c", at(10))
		Expect(l.Expiry()).To(Equal(at(400)))
		l.Confirm("d", at(20))
		l.Confirm("d", at(15))
		Expect(l.Expiry()).To(Equal(at(410)))
		Expect(l.Held(at(409))).To(BeTrue())
		Expect(l.Held(at(410))).To(BeFalse())
	})

	// Guards against an even partition in which both halves hold a lease.
	It("needs more than half of an even roster", func() {
		l := fulmarlease.New("a", window)
		l.SetRoster([]string{"a", "b", "c", "d"})
		l.Confirm("b", at(0))
		Expect(l.Expiry()).To(BeZero())
		l.Confirm("c", at(1))
		Expect(l.Expiry()).To(Equal(at(400)))
	})

	// Guards against a daemon outside the roster that holds a lease by a read of the
	// key-value service.
	It("is never held outside the roster, and always held by the only member", func() {
		l := fulmarlease.New("a", window)
		l.SetRoster([]string{"b"})
		l.ConfirmStore(at(0))
		Expect(l.Expiry()).To(BeZero())
		l.SetRoster([]string{"a"})
		Expect(l.Held(at(1e6))).To(BeTrue())
	})

	// Guards against confirmations of a previous roster that count for the next one.
	It("discards confirmations only when the roster changes", func() {
		l := fulmarlease.New("a", window)
		l.SetRoster([]string{"a", "b"})
		l.ConfirmStore(at(0))
		l.SetRoster([]string{"b", "a"})
		Expect(l.Expiry()).To(Equal(at(400)))
		l.SetRoster([]string{"a", "b", "c"})
		Expect(l.Expiry()).To(BeZero())
	})

	// Guards against a sequence of confirmations after which a minority holds the lease.
	It("is held if and only if a majority confirmed within the window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(2, 9).Draw(t, "members")
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
			}
			l := fulmarlease.New("0", window)
			l.SetRoster(ids)
			last := map[int]int{}
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				id, ms := rapid.IntRange(1, n-1).Draw(t, "id"), rapid.IntRange(0, 2000).Draw(t, "ms")
				l.Confirm(ids[id], at(ms))
				if old, ok := last[id]; !ok || ms > old {
					last[id] = ms
				}
			}
			now, count := rapid.IntRange(0, 2500).Draw(t, "now"), 1
			for _, ms := range last {
				if now < ms+400 {
					count++
				}
			}
			if l.Held(at(now)) != (count > n/2) {
				t.Fatalf("held %v with %d of %d members", l.Held(at(now)), count, n)
			}
		})
	})
})

func ExampleLease() {
	l := fulmarlease.New("a", 400*time.Millisecond)
	l.SetRoster([]string{"a", "b", "c"})
	sent := time.Unix(0, 0)
	l.Confirm("c", sent)
	fmt.Println(l.Held(sent.Add(399*time.Millisecond)), l.Held(sent.Add(400*time.Millisecond)))
	// Output: true false
}

func BenchmarkConfirm(b *testing.B) {
	for _, n := range []int{3, 27, 81} {
		ids := make([]string, n)
		for i := range ids {
			ids[i] = fmt.Sprint(i)
		}
		l := fulmarlease.New("0", window)
		l.SetRoster(ids)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Confirm(ids[i%n], at(i))
			}
		})
	}
}
