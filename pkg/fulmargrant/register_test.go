package fulmargrant_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
)

const ttl = 600 * time.Millisecond

func grant(holder string, term, epoch uint64, stamp time.Duration, slots ...int) fulmargrant.Grant {
	return fulmargrant.Grant{Holder: holder, Term: term, Epoch: epoch, Stamp: stamp, TTL: ttl, Slots: slots}
}

func expectRefused(err error, reason string) {
	GinkgoHelper()
	var refused *fulmargrant.RefusedError
	Expect(err).To(BeAssignableToTypeOf(refused))
	Expect(err.Error()).To(ContainSubstring(reason))
}

var _ = Describe("Register", func() {
	const now = 10 * time.Second
	var r *fulmargrant.Register
	BeforeEach(func() {
		r = fulmargrant.New(time.Second)
		Expect(r.Apply(now, grant("a", 5, 7, now-100*time.Millisecond, 1, 3))).To(Succeed())
	})

	// Guards against a stale, reordered or malformed grant taking effect.
	DescribeTable("refuses",
		func(g fulmargrant.Grant, reason string) {
			expectRefused(r.Apply(now, g), reason)
			Expect(r.Check(now, 5, 3)).To(Succeed())
		},
		Entry("a lower term", grant("b", 4, 7, now), fulmargrant.ReasonTermNotCurrent),
		Entry("the term of another holder", grant("b", 5, 7, now), fulmargrant.ReasonTermTaken),
		Entry("a lower epoch with a higher term", grant("b", 6, 6, now), fulmargrant.ReasonStaleEpoch),
		Entry("a stamp in the future", grant("a", 5, 7, now+1), fulmargrant.ReasonFutureStamp),
		Entry("a TTL above the maximum", fulmargrant.Grant{Holder: "a", Term: 5, Epoch: 7, Stamp: now, TTL: 2 * time.Second}, fulmargrant.ReasonTTLOutOfBounds),
		Entry("a grant that expired in transit", grant("b", 6, 7, now-ttl), fulmargrant.ReasonExpired),
		Entry("an earlier renewal", grant("a", 5, 7, now-200*time.Millisecond, 1, 3), fulmargrant.ReasonSuperseded),
		Entry("an added slot with the same stamp", grant("a", 5, 7, now-100*time.Millisecond, 1, 2, 3), fulmargrant.ReasonSuperseded),
		Entry("no holder", grant("", 6, 7, now), fulmargrant.ReasonMalformed),
	)

	// Guards against orders that start without a valid grant.
	It("checks term, slot and expiry", func() {
		expectRefused(r.Check(now, 4, 1), fulmargrant.ReasonTermNotCurrent)
		expectRefused(r.Check(now, 5, 2), fulmargrant.ReasonNotGranted)
		expectRefused(r.Check(now-100*time.Millisecond+ttl, 5, 1), fulmargrant.ReasonExpired)
		expectRefused(fulmargrant.New(ttl).Check(0, 0, 0), fulmargrant.ReasonTermNotCurrent)
	})

	// Guards against an expiry that is counted from arrival instead of from the stamp.
	It("counts the TTL of a delayed renewal from its stamp", func() {
		later := now + 300*time.Millisecond
		Expect(r.Apply(later, grant("a", 5, 7, now, 1, 3))).To(Succeed())
		Expect(r.State(later).Remaining).To(Equal(ttl - 300*time.Millisecond))
		Expect(r.State(now + ttl).Remaining).To(BeZero())
	})
})

var _ = Describe("LastActivity", func() {
	// Guards against a new dispatcher that treats request ids as new although they
	// ran before the takeover, or before the slot was added to the target.
	It("is the time of the last admitted order or added slot", func() {
		r := fulmargrant.New(time.Minute)
		Expect(r.State(1).LastActivity).To(BeZero())
		Expect(r.Apply(10, grant("a", 5, 7, 10, 1, 3))).To(Succeed())
		Expect(r.State(10).LastActivity).To(BeEquivalentTo(10), "slots were added")
		Expect(r.Apply(20, grant("b", 6, 7, 20, 3))).To(Succeed())
		Expect(r.State(20).LastActivity).To(BeEquivalentTo(10), "a takeover adds no slot")
		Expect(r.Check(30, 6, 1)).NotTo(Succeed())
		Expect(r.State(30).LastActivity).To(BeEquivalentTo(10), "a refused order is no activity")
		Expect(r.Check(40, 6, 3)).To(Succeed())
		Expect(r.State(40).LastActivity).To(BeEquivalentTo(40))
		Expect(r.Apply(50, grant("b", 6, 8, 50, 1, 3))).To(Succeed())
		Expect(r.State(50).LastActivity).To(BeEquivalentTo(50), "a slot was added again")
	})
})

// Guards against two holders whose orders are both accepted for one slot of a target.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTTL = 50
		r := fulmargrant.New(maxTTL)
		now := time.Duration(0)
		expiries := map[uint64]time.Duration{} // by term: the latest expiry of any applied grant
		holders := map[uint64]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "advance"))
			g := fulmargrant.Grant{
				Holder: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder"),
				Term:   uint64(rapid.IntRange(0, 6).Draw(t, "term")),
				Epoch:  uint64(rapid.IntRange(0, 3).Draw(t, "epoch")),
				Slots:  rapid.SampledFrom([][]int{{}, {0}, {1}, {0, 1}}).Draw(t, "slots"),
				Stamp:  now + time.Duration(rapid.IntRange(-60, 5).Draw(t, "delay")),
				TTL:    time.Duration(rapid.IntRange(-1, 60).Draw(t, "ttl")),
			}
			if r.Apply(now, g) == nil {
				if h, ok := holders[g.Term]; ok && h != g.Holder {
					t.Fatalf("term %d has the holders %s and %s", g.Term, h, g.Holder)
				}
				holders[g.Term] = g.Holder
				expiries[g.Term] = max(expiries[g.Term], g.Stamp+g.TTL)
			}
			for slot := range 2 {
				accepted := map[string]bool{}
				for term := range uint64(8) {
					if r.Check(now, term, slot) != nil {
						continue
					}
					accepted[holders[term]] = true
					if now >= expiries[term] {
						t.Fatalf("term %d is accepted at %d after its last expiry %d", term, now, expiries[term])
					}
				}
				if len(accepted) > 1 {
					t.Fatalf("orders for slot %d are accepted from the holders %v", slot, accepted)
				}
			}
		}
	})
}

func ExampleRegister() {
	r := fulmargrant.New(time.Second)
	_ = r.Apply(time.Second, grant("odda-1", 1, 1, time.Second, 4))
	fmt.Println(r.Check(time.Second, 1, 4))
	fmt.Println(r.Check(time.Second+ttl, 1, 4))
	// Output:
	// <nil>
	// fulmargrant: grant has lapsed
}

func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{16, 256, 4096} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			slots := make([]int, size)
			for i := range slots {
				slots[i] = i
			}
			r := fulmargrant.New(time.Second)
			if err := r.Apply(0, grant("a", 1, 1, 0, slots...)); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_ = r.Check(1, 1, i%size)
			}
		})
	}
}
