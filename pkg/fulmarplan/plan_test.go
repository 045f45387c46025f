package fulmarplan_test

import (
	"fmt"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var policy = fulmarplan.Policy{
	MaxMoving: 64, LeaseWindow: 400 * time.Millisecond, GrantTTL: 600 * time.Millisecond, OrderTimeout: 2 * time.Second,
	MoveTimeout: 2 * time.Second, RebalanceInterval: 10 * time.Second, MaxImbalance: 1.25, MaxHotKeys: 16, QuarantineTTL: 30 * time.Minute, DownTimeout: 5 * time.Second,
}

// harness steps a planner. All changes succeed, and members acknowledge at once unless listed in withoutAck.
type harness struct {
	planner    *fulmarplan.Planner
	now        time.Time
	in         fulmarplan.Input
	withoutAck map[string]bool // members that do not acknowledge new tables
	reasons    []string        // of the last step
}

func newHarness(members, targets, slots int) *harness {
	h := &harness{planner: fulmarplan.New(policy, 1), now: time.Unix(1000, 0), withoutAck: map[string]bool{}}
	h.in = fulmarplan.Input{Services: map[string]int{"rota": slots}, Acks: map[string]fulmarplan.Ack{}}
	for i := range members {
		h.in.Members = append(h.in.Members, fulmarslot.Member{ID: fmt.Sprintf("m%02d", i), Incarnation: 1})
	}
	for i := range targets {
		h.in.Targets = append(h.in.Targets, fulmarslot.Target{ID: fmt.Sprintf("t%04d", i), Service: "rota", Fenced: true})
	}
	return h
}

func (h *harness) ack() {
	for _, m := range h.in.Members {
		if !h.withoutAck[m.ID] {
			h.in.Acks[m.ID] = fulmarplan.Ack{Epoch: h.in.Table.Epoch(), Incarnation: m.Incarnation, GrantExpiry: h.in.Acks[m.ID].GrantExpiry, GrantSent: h.in.Acks[m.ID].GrantSent}
		}
	}
}

// step makes one step and reports whether it changed the table.
func (h *harness) step() bool {
	out := h.planner.Step(h.now, h.in)
	h.reasons = out.Reasons
	if len(out.Changes) == 0 {
		return false
	}
	t, err := h.in.Table.With(out.Changes...)
	if err != nil {
		panic(err)
	}
	h.in.Table = t
	h.ack()
	return true
}

// run makes a step every 50 ms for d and releases cooperative moves at once.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		h.release()
		h.step()
	}
}

func (h *harness) release() {
	h.in.Releases = nil
	for slot, a := range h.in.Table.MovingSlots("rota") {
		h.in.Releases = append(h.in.Releases, fulmarplan.Release{Target: a.Owner, Service: "rota", Slots: []int{slot}, Epoch: h.in.Table.Epoch()})
	}
}

func (h *harness) expectSlotCounts(want ...int) {
	GinkgoHelper()
	var got []int
	for _, t := range h.in.Table.Targets() {
		owned, outgoing, incoming := h.in.Table.SlotCounts(t.ID)
		Expect(outgoing + incoming).To(BeZero())
		got = append(got, owned)
	}
	Expect(got).To(Equal(want))
}

var _ = Describe("Planner", func() {
	// Guards against a cluster that does not start from an empty table, and against an uneven first assignment.
	It("starts from an empty table", func() {
		h := newHarness(3, 4, 10)
		h.run(time.Second)
		Expect(h.in.Table.Roster()).To(HaveLen(3))
		owned := 0
		for _, t := range h.in.Table.Targets() {
			n, _, _ := h.in.Table.SlotCounts(t.ID)
			Expect(n).To(BeNumerically("~", 2.5, 0.5))
			owned += n
		}
		Expect(owned).To(Equal(10))
	})

	// Guards against a forced move that ends before the last grant to the lost target expires.
	It("ends a forced move at the latest grant expiry once all members acknowledged", func() {
		h := newHarness(3, 2, 10)
		h.run(3 * time.Second)
		grantExpiry := h.now.Add(300 * time.Millisecond)
		h.in.Acks["m01"] = fulmarplan.Ack{Epoch: h.in.Table.Epoch(), Incarnation: 1, GrantExpiry: map[string]time.Time{"t0000": grantExpiry}}
		h.in.Losses = []fulmarplan.Loss{{Target: "t0000", Suspects: []uint64{7}}}
		Expect(h.step()).To(BeTrue())
		Expect(h.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(5))
		Expect(h.in.Table.Quarantined()).To(HaveLen(1))
		h.now = grantExpiry.Add(-time.Millisecond)
		Expect(h.step()).To(BeFalse())
		h.now = grantExpiry
		Expect(h.step()).To(BeTrue())
		h.expectSlotCounts(0, 10)
	})

	// Guards against using deduplication records after a forced move: they may not cover all requests that ran at the
	// former owner, however many daemons sent grants to it.
	DescribeTable("commits a forced move as a new move",
		func(senders []string, withoutAck string) {
			h := newHarness(3, 2, 4)
			h.run(3 * time.Second)
			for _, id := range senders {
				h.in.Acks[id] = fulmarplan.Ack{Epoch: h.in.Table.Epoch(), Incarnation: 1, GrantSent: map[string]bool{"t0000": true}}
			}
			h.withoutAck[withoutAck] = true
			h.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
			h.step()
			slot := h.in.Table.MovingFrom(nil, "t0000")[0]
			moveEpoch := h.in.Table.Assignment("rota", slot).MoveEpoch
			h.run(2 * time.Second)
			h.expectSlotCounts(0, 4)
			Expect(h.in.Table.Assignment("rota", slot).MoveEpoch == moveEpoch).To(BeFalse())
		},
		Entry("one sender", []string{"m01"}, ""),
		Entry("two senders", []string{"m01", "m02"}, ""),
		Entry("no sender", nil, ""),
		Entry("one sender, and a member that did not acknowledge", []string{"m01"}, "m02"),
	)

	// Guards against using deduplication records although a restarted daemon no longer knows what it sent to the lost target.
	It("commits a forced move as a new move if the roster changed meanwhile", func() {
		h := newHarness(3, 2, 4)
		h.run(3 * time.Second)
		grantExpiry := h.now.Add(3 * time.Second)
		h.in.Acks["m01"] = fulmarplan.Ack{
			Epoch: h.in.Table.Epoch(), Incarnation: 1, GrantSent: map[string]bool{"t0000": true}, GrantExpiry: map[string]time.Time{"t0000": grantExpiry},
		}
		h.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		h.step()
		slot := h.in.Table.MovingFrom(nil, "t0000")[0]
		moveEpoch := h.in.Table.Assignment("rota", slot).MoveEpoch
		h.in.Members[2].Incarnation = 2
		h.run(4 * time.Second)
		h.expectSlotCounts(0, 4)
		Expect(h.in.Table.Roster()[2].Incarnation).To(BeEquivalentTo(2))
		Expect(h.in.Table.Assignment("rota", slot).MoveEpoch).NotTo(Equal(moveEpoch))
	})

	// Guards against a forced move that ends while a daemon that did not acknowledge may still hold its lease.
	It("ends a forced move a lease window and a grant TTL after a majority acknowledged", func() {
		h := newHarness(3, 2, 10)
		h.run(3 * time.Second)
		h.withoutAck["m02"] = true
		h.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		h.step()
		h.now = h.now.Add(10 * time.Millisecond)
		Expect(h.step()).To(BeFalse())
		h.now = h.now.Add(time.Second)
		Expect(h.step()).To(BeFalse())
		h.now = h.now.Add(2 * time.Millisecond) // the allowance for clock drift has passed as well
		Expect(h.step()).To(BeTrue())
		h.expectSlotCounts(0, 10)
	})
})
