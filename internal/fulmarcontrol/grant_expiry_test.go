package fulmarcontrol

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("grantExpiryLog", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Guards against an acknowledgement that omits an older grant for a moving slot,
	// or that includes a grant without that slot.
	It("returns the latest expiry of the grants for any of the slots", func() {
		var l grantExpiryLog
		l.record(at(0), []int{1, 2, 3}, at(600))
		l.record(at(150), []int{1, 2, 3}, at(750))
		l.record(at(200), []int{1, 3}, at(800))
		Expect(l.latestExpiry([]int{2})).To(Equal(at(750)))
		Expect(l.latestExpiry([]int{3, 9})).To(Equal(at(800)))
		Expect(l.latestExpiry([]int{9})).To(BeZero())
		Expect(l.latestExpiry(nil)).To(BeZero())
		l.record(at(760), []int{1, 3}, at(1360))
		Expect(l.latestExpiry([]int{2})).To(BeZero(), "the grant has expired")
		Expect(l.entries).To(HaveLen(1))
	})

	// Guards against a sequence of grants for which the log returns too early an expiry.
	It("returns no expiry before that of a grant in force", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			type grant struct {
				slots  []int
				expiry int
			}
			var l grantExpiryLog
			var sent []grant
			now := 0
			for range rapid.IntRange(1, 30).Draw(t, "grants") {
				now += rapid.IntRange(0, 300).Draw(t, "step")
				slots := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID[int]).Draw(t, "slots")
				slices.Sort(slots)
				g := grant{slots: slots, expiry: now + rapid.IntRange(1, 600).Draw(t, "life")}
				l.record(at(now), g.slots, at(g.expiry))
				sent = append(sent, g)
			}
			slot := rapid.IntRange(0, 5).Draw(t, "slot")
			for _, g := range sent {
				if g.expiry > now && slices.Contains(g.slots, slot) && l.latestExpiry([]int{slot}).Before(at(g.expiry)) {
					t.Fatalf("a grant for slot %d expires at %d ms, the log returns %v", slot, g.expiry, l.latestExpiry([]int{slot}).Sub(start))
				}
			}
		})
	})
})

var _ = Describe("holder names", func() {
	// Guards against a restarted daemon that is mistaken for its previous incarnation.
	It("include the incarnation", func() {
		id, incarnation, ok := parseHolder(formatHolder("odda/1", 42))
		Expect([]any{id, incarnation, ok}).To(Equal([]any{"odda/1", uint64(42), true}))
		Expect(formatHolder("odda-1", 1)).NotTo(Equal(formatHolder("odda-1", 2)))
		for _, name := range []string{"", "odda-1", "odda-1/x", "odda-1/"} {
			_, _, ok := parseHolder(name)
			Expect(ok).To(BeFalse(), name)
		}
	})
})
