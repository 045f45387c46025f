package fulmarcontrol

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
