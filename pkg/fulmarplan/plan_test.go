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

func newBench(members, targets, slots int) *harness {
	b := &harness{planner: fulmarplan.New(policy, 1), now: time.Unix(1000, 0), withoutAck: map[string]bool{}}
	b.in = fulmarplan.Input{Services: map[string]int{"rota": slots}, Acks: map[string]fulmarplan.Ack{}}
	for i := range members {
		b.in.Members = append(b.in.Members, fulmarslot.Member{ID: fmt.Sprintf("m%02d", i), Incarnation: 1})
	}
	for i := range targets {
		b.in.Targets = append(b.in.Targets, fulmarslot.Target{ID: fmt.Sprintf("t%04d", i), Service: "rota", Fenced: true})
	}
	return b
}

func (b *harness) ack() {
	for _, m := range b.in.Members {
		if !b.withoutAck[m.ID] {
			b.in.Acks[m.ID] = fulmarplan.Ack{Epoch: b.in.Table.Epoch(), Incarnation: m.Incarnation, GrantExpiry: b.in.Acks[m.ID].GrantExpiry, GrantSent: b.in.Acks[m.ID].GrantSent}
		}
	}
}

// step makes one step and reports whether it changed the table.
func (b *harness) step() bool {
	out := b.planner.Step(b.now, b.in)
	b.reasons = out.Reasons
	if len(out.Changes) == 0 {
		return false
	}
	t, err := b.in.Table.With(out.Changes...)
	if err != nil {
		panic(err)
	}
	b.in.Table = t
	b.ack()
	return true
}

// run makes a step every 50 ms for d and releases cooperative moves at once.
func (b *harness) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		b.release()
		b.step()
	}
}

func (b *harness) release() {
	b.in.Releases = nil
	for slot, a := range b.in.Table.MovingSlots("rota") {
		b.in.Releases = append(b.in.Releases, fulmarplan.Release{Target: a.Owner, Service: "rota", Slots: []int{slot}, Epoch: b.in.Table.Epoch()})
	}
}

func (b *harness) expectSlotCounts(want ...int) {
	GinkgoHelper()
	var got []int
	for _, t := range b.in.Table.Targets() {
		owned, away, incoming := b.in.Table.SlotCounts(t.ID)
		Expect(away + incoming).To(BeZero())
		got = append(got, owned)
	}
	Expect(got).To(Equal(want))
}

var _ = Describe("Planner", func() {
	// Guards against a cluster that does not start from an empty table, and against an uneven first assignment.
	It("starts from an empty table", func() {
		b := newBench(3, 4, 10)
		b.run(time.Second)
		Expect(b.in.Table.Roster()).To(HaveLen(3))
		owned := 0
		for _, t := range b.in.Table.Targets() {
			n, _, _ := b.in.Table.SlotCounts(t.ID)
			Expect(n).To(BeNumerically("~", 2.5, 0.5))
			owned += n
		}
		Expect(owned).To(Equal(10))
	})

	// Guards against a forced move that ends before the last grant to the lost target expires.
	It("ends a forced move at the latest lapse when all acknowledged", func() {
		b := newBench(3, 2, 10)
		b.run(3 * time.Second)
		lapse := b.now.Add(300 * time.Millisecond)
		b.in.Acks["m01"] = fulmarplan.Ack{Epoch: b.in.Table.Epoch(), Incarnation: 1, GrantExpiry: map[string]time.Time{"t0000": lapse}}
		b.in.Losses = []fulmarplan.Loss{{Target: "t0000", Suspects: []uint64{7}}}
		Expect(b.step()).To(BeTrue())
		Expect(b.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(5))
		Expect(b.in.Table.Quarantined()).To(HaveLen(1))
		b.now = lapse.Add(-time.Millisecond)
		Expect(b.step()).To(BeFalse())
		b.now = lapse
		Expect(b.step()).To(BeTrue())
		b.expectSlotCounts(0, 10)
	})

	// Guards against using deduplication records after a forced move: they may not cover all requests that ran at the
	// former owner, however many daemons sent grants to it.
	DescribeTable("ends a forced move afresh",
		func(senders []string, silent string) {
			b := newBench(3, 2, 4)
			b.run(3 * time.Second)
			for _, id := range senders {
				b.in.Acks[id] = fulmarplan.Ack{Epoch: b.in.Table.Epoch(), Incarnation: 1, GrantSent: map[string]bool{"t0000": true}}
			}
			b.withoutAck[silent] = true
			b.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
			b.step()
			slot := b.in.Table.MovingFrom(nil, "t0000")[0]
			started := b.in.Table.Assignment("rota", slot).MoveEpoch
			b.run(2 * time.Second)
			b.expectSlotCounts(0, 4)
			Expect(b.in.Table.Assignment("rota", slot).MoveEpoch == started).To(BeFalse())
		},
		Entry("one sender", []string{"m01"}, ""),
		Entry("two senders", []string{"m01", "m02"}, ""),
		Entry("no sender", nil, ""),
		Entry("one sender, and a member that did not acknowledge", []string{"m01"}, "m02"),
	)

	// Guards against using deduplication records although a restarted daemon no longer knows what it sent to the lost target.
	It("does not keep the start of a forced move when the roster changes meanwhile", func() {
		b := newBench(3, 2, 4)
		b.run(3 * time.Second)
		lapse := b.now.Add(3 * time.Second)
		b.in.Acks["m01"] = fulmarplan.Ack{
			Epoch: b.in.Table.Epoch(), Incarnation: 1, GrantSent: map[string]bool{"t0000": true}, GrantExpiry: map[string]time.Time{"t0000": lapse},
		}
		b.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		b.step()
		slot := b.in.Table.MovingFrom(nil, "t0000")[0]
		started := b.in.Table.Assignment("rota", slot).MoveEpoch
		b.in.Members[2].Incarnation = 2
		b.run(4 * time.Second)
		b.expectSlotCounts(0, 4)
		Expect(b.in.Table.Roster()[2].Incarnation).To(BeEquivalentTo(2))
		Expect(b.in.Table.Assignment("rota", slot).MoveEpoch).NotTo(Equal(started))
	})

	// Guards against a forced move that ends while a daemon that did not acknowledge may still hold its lease.
	It("ends a forced move a window and a ttl after a majority acknowledged", func() {
		b := newBench(3, 2, 10)
		b.run(3 * time.Second)
		b.withoutAck["m02"] = true
		b.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		b.step()
		b.now = b.now.Add(10 * time.Millisecond)
		Expect(b.step()).To(BeFalse())
		b.now = b.now.Add(time.Second)
		Expect(b.step()).To(BeFalse())
		b.now = b.now.Add(2 * time.Millisecond)
		Expect(b.step()).To(BeTrue())
		b.expectSlotCounts(0, 10)
	})
})
