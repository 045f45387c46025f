package fulmarguard_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
)

const hold = 30 * time.Minute

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func expectVerdicts(g *fulmarguard.Guard, now time.Time, want map[uint64]fulmarguard.Verdict) {
	GinkgoHelper()
	for f, v := range want {
		Expect(g.Check(now, f)).To(Equal(v), "fingerprint %d", f)
	}
}

var _ = Describe("Guard", func() {
	// Guards against condemning other work in flight, and against a third lost target.
	It("suspects at the first loss and condemns at the second", func() {
		g := fulmarguard.New(hold, 10)
		Expect(g.RecordLoss(start, []uint64{1, 2})).To(HaveLen(2))
		expectVerdicts(g, start, map[uint64]fulmarguard.Verdict{1: fulmarguard.Isolate, 2: fulmarguard.Isolate, 3: fulmarguard.Allow})
		g.Clear(2)
		g.RecordLoss(start, []uint64{1})
		g.Clear(1)
		expectVerdicts(g, start, map[uint64]fulmarguard.Verdict{1: fulmarguard.Refuse, 2: fulmarguard.Allow})
		expectVerdicts(g, start.Add(hold), map[uint64]fulmarguard.Verdict{1: fulmarguard.Allow})
	})

	// Guards against condemning work that was in flight at one unrelated loss.
	It("only suspects work that was alone at the first loss", func() {
		g := fulmarguard.New(hold, 10)
		g.RecordLoss(start, []uint64{1})
		expectVerdicts(g, start, map[uint64]fulmarguard.Verdict{1: fulmarguard.Isolate})
		g.RecordLoss(start.Add(hold), []uint64{1})
		expectVerdicts(g, start.Add(hold), map[uint64]fulmarguard.Verdict{1: fulmarguard.Isolate})
	})

	// Guards against an unbounded list, and against dropping condemned marks before suspects.
	It("drops suspects first at the limit", func() {
		g := fulmarguard.New(hold, 2)
		g.RecordLoss(start, []uint64{1})
		g.RecordLoss(start, []uint64{1})
		for f := range uint64(5) {
			g.RecordLoss(start.Add(time.Duration(f)*time.Second), []uint64{10 + f})
		}
		expectVerdicts(g, start.Add(time.Minute), map[uint64]fulmarguard.Verdict{1: fulmarguard.Refuse, 14: fulmarguard.Isolate, 13: fulmarguard.Allow})
	})

	// Guards against an old table that restores or weakens marks.
	It("merges marks", func() {
		g := fulmarguard.New(hold, 10)
		g.RecordLoss(start, []uint64{1, 2})
		old := g.Marks(start)
		g.RecordLoss(start, []uint64{1})
		g.Clear(2)
		g.Merge(old)
		expectVerdicts(g, start, map[uint64]fulmarguard.Verdict{1: fulmarguard.Refuse, 2: fulmarguard.Allow})
		condemned := g.Marks(start)
		g.Lift(1)
		g.Merge(condemned)
		expectVerdicts(g, start, map[uint64]fulmarguard.Verdict{1: fulmarguard.Allow})
		g.RecordLoss(start.Add(time.Second), []uint64{1})
		expectVerdicts(g, start.Add(time.Second), map[uint64]fulmarguard.Verdict{1: fulmarguard.Isolate})
	})

	// Guards against a request that crashes more than two targets while
	// others run, and against more marks than the limit.
	It("loses at most two targets to one request", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const poison = 1
			limit := rapid.IntRange(8, 12).Draw(t, "limit")
			g, lost := fulmarguard.New(hold, limit), 0
			for range rapid.IntRange(1, 60).Draw(t, "orders") {
				beside := rapid.SliceOfNDistinct(rapid.Uint64Range(2, 6), 0, 2, rapid.ID).Draw(t, "beside")
				switch g.Check(start, poison) {
				case fulmarguard.Refuse:
				case fulmarguard.Isolate:
					g.RecordLoss(start, []uint64{poison})
					lost++
				default:
					g.RecordLoss(start, append(slices.Clone(beside), poison))
					lost++
				}
				if len(beside) > 0 {
					g.Clear(beside[0])
				}
				if lost > 2 || len(g.Marks(start)) > limit {
					t.Fatalf("lost %d, marks %d", lost, len(g.Marks(start)))
				}
			}
		})
	})

	// Guards against different work with the same fingerprint.
	It("gives different work different fingerprints", func() {
		seen := map[uint64]bool{}
		for _, f := range []uint64{
			fulmarguard.Fingerprint("s", "GET", "/a", "k", nil), fulmarguard.Fingerprint("s", "GET", "/ak", "", nil),
			fulmarguard.Fingerprint("s", "GET", "/a", "k", []byte("b")), fulmarguard.Fingerprint("s", "GET", "/a", "", []byte("k")),
		} {
			Expect(seen[f]).To(BeFalse())
			seen[f] = true
		}
	})
})

func ExampleGuard() {
	g := fulmarguard.New(30*time.Minute, 128)
	now := time.Unix(0, 0)
	f := fulmarguard.Fingerprint("pay-desk", "POST", "/payout", "key", nil)
	for range 2 {
		g.RecordLoss(now, []uint64{f})
		fmt.Println(g.Check(now, f) == fulmarguard.Refuse)
	}
	// Output:
	// false
	// true
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				fulmarguard.Fingerprint("service", "POST", "/path", "key", body)
			}
		})
	}
}
