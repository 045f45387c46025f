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
	// Guards against a majority that counts too few members, or counts from the answer.
	It("ends a window after the oldest request of the newest majority", func() {
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

	// Guards against an even split where both halves hold a lease.
	It("needs more than half of an even roster", func() {
		l := fulmarlease.New("a", window)
		l.SetRoster([]string{"a", "b", "c", "d"})
		l.Confirm("b", at(0))
		Expect(l.Expiry()).To(BeZero())
		l.Confirm("c", at(1))
		Expect(l.Expiry()).To(Equal(at(400)))
	})

	// Guards against a daemon outside the roster that acts on a read of the store.
	It("is never held outside the roster, and is held alone", func() {
		l := fulmarlease.New("a", window)
		l.SetRoster([]string{"b"})
		l.ConfirmStore(at(0))
		Expect(l.Expiry()).To(BeZero())
		l.SetRoster([]string{"a"})
		Expect(l.Held(at(1e6))).To(BeTrue())
	})

	// Guards against confirmations of a former roster that count for the next one.
	It("forgets confirmations when the roster changes and only then", func() {
		l := fulmarlease.New("a", window)
		l.SetRoster([]string{"a", "b"})
		l.ConfirmStore(at(0))
		l.SetRoster([]string{"b", "a"})
		Expect(l.Expiry()).To(Equal(at(400)))
		l.SetRoster([]string{"a", "b", "c"})
		Expect(l.Expiry()).To(BeZero())
	})

	// Guards against any sequence in which a minority holds the lease.
	It("is held only with a majority inside the window", func() {
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
				t.Fatalf("held %v with %d of %d", l.Held(at(now)), count, n)
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
