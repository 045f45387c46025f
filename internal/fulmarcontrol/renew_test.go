package fulmarcontrol

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// newControllerWithMoves returns a controller that is the only member of the roster.
// In its table target a owns four slots, of which two move to b: slot 0 in a
// cooperative move and slot 1 in a forced one.
func newControllerWithMoves() *Controller {
	c := New(Deps{
		Self:   fulmarslot.Member{ID: "i1", Incarnation: 1},
		Timing: Timing{LeaseWindow: time.Second, GrantTTL: time.Second},
	})
	table, err := fulmarslot.New(map[string]int{"rota": 4}).With(
		fulmarslot.PutMember(c.Self),
		fulmarslot.PutTarget(fulmarslot.Target{ID: "a", Service: "rota", Fenced: true}),
		fulmarslot.PutTarget(fulmarslot.Target{ID: "b", Service: "rota", Fenced: true}),
		fulmarslot.Assign("rota", 0, "a"), fulmarslot.Assign("rota", 1, "a"),
		fulmarslot.Assign("rota", 2, "a"), fulmarslot.Assign("rota", 3, "a"),
		fulmarslot.Move("rota", 0, "b", false), fulmarslot.Move("rota", 1, "b", true),
	)
	Expect(err).NotTo(HaveOccurred())
	c.table = table
	c.lease.SetRoster([]string{"i1"})
	c.grantExpiries["a"] = &grantExpiryLog{}
	return c
}

var _ = Describe("grant", func() {
	// Guards against a grant that keeps a slot of a forced move while work is in
	// flight: the grant could outlast the move, and the slot would have two owners.
	It("keeps a slot with work in flight unless its move is forced", func() {
		c := newControllerWithMoves()
		workEnded := make(chan struct{})
		m := &grantManager{c: c, id: "a", stoppingSlots: map[int]<-chan struct{}{0: workEnded, 1: workEnded}}
		g, owned, ok := m.prepareGrant(5, 0, time.Now())
		Expect(ok).To(BeTrue())
		Expect(owned).To(Equal([]int{2, 3}))
		Expect(g.Slots).To(Equal([]int{0, 2, 3}))
		Expect(c.grantExpiries["a"].latestExpiry([]int{1})).To(BeZero())
		close(workEnded)
		g, _, _ = m.prepareGrant(5, 0, time.Now())
		Expect(g.Slots).To(Equal([]int{2, 3}), "work in flight has ended")
	})

	// Guards against a grant sent by a daemon without the quorum lease.
	It("is not prepared without the quorum lease", func() {
		c := newControllerWithMoves()
		c.lease.SetRoster([]string{"i1", "i2", "i3"})
		m := &grantManager{c: c, id: "a"}
		_, _, ok := m.prepareGrant(5, 0, time.Now())
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("release", func() {
	// Guards against a move that never ends: a planner that was elected during the move waits for a report from an epoch in
	// which it has seen the move, and the first report is older.
	It("is reported again with the epoch of a later grant", func() {
		c := newControllerWithMoves()
		m := &grantManager{c: c, id: "a", releases: []fulmarwire.SlotRelease{{Target: "a", Service: "rota", Slots: []int{0, 2}, Epoch: 3}}}
		m.releaseSlots(context.Background(), fulmarslot.Target{ID: "a", Service: "rota"}, 5, []int{0})
		Expect(m.releases).To(Equal([]fulmarwire.SlotRelease{{Target: "a", Service: "rota", Slots: []int{0}, Epoch: 5}}))
		m.releaseSlots(context.Background(), fulmarslot.Target{ID: "a", Service: "rota"}, 4, []int{0})
		Expect(m.releases[0].Epoch).To(BeEquivalentTo(5), "an older grant")
	})
})

var _ = Describe("takeover", func() {
	// Guards against a daemon that is cut off from its peers and takes targets from holders that renew their grants, so that
	// both sides take them from each other.
	DescribeTable("of a target whose holder is down", func(remaining time.Duration, peerLives, held bool) {
		c := newControllerWithMoves()
		c.detector = fulmarmember.New(time.Second)
		table, err := c.table.With(
			fulmarslot.PutMember(fulmarslot.Member{ID: "i2", Incarnation: 1}),
			fulmarslot.PutMember(fulmarslot.Member{ID: "i3", Incarnation: 1}))
		Expect(err).NotTo(HaveOccurred())
		c.table = table
		now := time.Now()
		seen := now.Add(-time.Minute)
		c.detector.Observe(seen, fulmarmember.Peer{ID: "i2", Incarnation: 1})
		if peerLives {
			seen = now
		}
		c.detector.Observe(seen, fulmarmember.Peer{ID: "i3", Incarnation: 1})
		m := &grantManager{c: c, id: "a"}
		Expect(m.heldByOther(fulmargrant.State{Holder: formatHolder("i2", 1), Remaining: remaining}, now)).To(Equal(held))
	},
		Entry("is refused in a minority while the grant lasts", time.Second, false, true),
		Entry("starts in a minority after the grant", time.Duration(0), false, false),
		Entry("starts in a majority", time.Second, true, false),
	)
})

var _ = Describe("status", func() {
	// Guards against an acknowledgement without grant expiries. A planner
	// whose election this daemon has not learned of yet would conclude that no grant is
	// in force.
	It("sends the grant expiries of moving slots to every peer", func() {
		c := newControllerWithMoves()
		now := time.Now()
		c.grantExpiries["a"].record(now, []int{0, 1, 2, 3}, now.Add(time.Minute))
		s := c.status("anyone")
		Expect(s.Epoch).To(Equal(c.table.Epoch()))
		Expect(s.GrantRemaining).To(HaveKey("a"))
		Expect(s.GrantSentTargets).To(Equal([]string{"a"}))
		Expect(s.Loads).To(BeNil())
	})
})
