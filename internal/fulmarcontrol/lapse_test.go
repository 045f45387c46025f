package fulmarcontrol

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("lapseLog", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Guards against an acknowledgement that leaves out an older grant which
	// still has a slot that moves, or that names one which never had it.
	It("names the latest end of the grants with any of the slots", func() {
		var l lapseLog
		l.record(at(0), []int{1, 2, 3}, at(600))
		l.record(at(150), []int{1, 2, 3}, at(750))
		l.record(at(200), []int{1, 3}, at(800))
		Expect(l.until([]int{2})).To(Equal(at(750)))
		Expect(l.until([]int{3, 9})).To(Equal(at(800)))
		Expect(l.until([]int{9})).To(BeZero())
		Expect(l.until(nil)).To(BeZero())
		l.record(at(760), []int{1, 3}, at(1360))
		Expect(l.until([]int{2})).To(BeZero(), "the grant has ended")
		Expect(l.entries).To(HaveLen(1))
	})

	// Guards against any sequence of grants for which the log is too early.
	It("is never earlier than a grant in force", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			type grant struct {
				slots []int
				until int
			}
			var l lapseLog
			var sent []grant
			now := 0
			for range rapid.IntRange(1, 30).Draw(t, "grants") {
				now += rapid.IntRange(0, 300).Draw(t, "step")
				slots := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID[int]).Draw(t, "slots")
				slices.Sort(slots)
				g := grant{slots: slots, until: now + rapid.IntRange(1, 600).Draw(t, "life")}
				l.record(at(now), g.slots, at(g.until))
				sent = append(sent, g)
			}
			slot := rapid.IntRange(0, 5).Draw(t, "slot")
			for _, g := range sent {
				if g.until > now && slices.Contains(g.slots, slot) && l.until([]int{slot}).Before(at(g.until)) {
					t.Fatalf("a grant for slot %d lasts until %d ms, the log says %v", slot, g.until, l.until([]int{slot}).Sub(start))
				}
			}
		})
	})
})

var _ = Describe("holder names", func() {
	// Guards against a restarted daemon that is taken for its former self.
	It("carry the incarnation", func() {
		id, incarnation, ok := parseHolder(holderName("odda/1", 42))
		Expect([]any{id, incarnation, ok}).To(Equal([]any{"odda/1", uint64(42), true}))
		Expect(holderName("odda-1", 1)).NotTo(Equal(holderName("odda-1", 2)))
		for _, name := range []string{"", "odda-1", "odda-1/x", "odda-1/"} {
			_, _, ok := parseHolder(name)
			Expect(ok).To(BeFalse(), name)
		}
	})
})
