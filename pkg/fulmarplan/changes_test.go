package fulmarplan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newSettledHarness returns a harness whose roster and slots no longer change.
func settled(members, targets, slots int) *harness {
	b := newBench(members, targets, slots)
	b.run(3 * time.Second)
	return b
}

func (b *harness) expectStep(reasons ...string) {
	GinkgoHelper()
	b.step()
	Expect(b.reasons).To(ConsistOf(reasons))
}

// runCountingMoves runs for d and returns the number of moves started.
func (b *harness) runCountingMoves(d time.Duration) int {
	moves := 0
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		b.release()
		before := b.in.Table
		b.step()
		for slot := range b.in.Table.MovingSlots("rota") {
			if slot >= before.Slots("rota") || before.Assignment("rota", slot).Next == "" {
				moves++
			}
		}
	}
	return moves
}

var _ = Describe("Planner's roster", func() {
	// Guards against majorities of consecutive rosters that do not intersect.
	It("changes one member at a time, after a majority of both rosters acknowledged", func() {
		b := settled(2, 1, 1)
		b.in.Members = append(b.in.Members, fulmarslot.Member{ID: "m90", Incarnation: 1}, fulmarslot.Member{ID: "m91", Incarnation: 1})
		b.withoutAck["m00"] = true
		b.expectStep("roster-add")
		b.expectStep()
		b.withoutAck["m00"] = false
		b.ack()
		b.expectStep("roster-add")
		b.expectStep()
		Expect(b.in.Table.Roster()).To(HaveLen(4))
	})

	// Guards against counting acknowledgements of a former process as those of its successor, and against counting two
	// processes with the same id.
	It("replaces incarnations with the same address only", func() {
		b := settled(3, 1, 1)
		b.in.Members[1].Incarnation = 2
		b.expectStep("roster-replace")
		b.in.Members[1].Incarnation, b.in.Members[1].ControlAddress = 3, "elsewhere"
		b.expectStep("roster-moved")
		b.expectStep("roster-add")
		Expect(b.in.Table.Roster()[1].Incarnation).To(BeEquivalentTo(3))
		b = settled(3, 2, 4)
		for i := range b.in.Members[1:] {
			b.in.Members[i+1].Incarnation, b.in.Members[i+1].ControlAddress = 2, "elsewhere"
		}
		b.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		b.run(time.Minute)
		Expect(b.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(2), "processes elsewhere acknowledged for the roster")
		b.in.ConfirmedLost = []string{"m01", "m02"}
		b.run(5 * time.Second)
		b.expectSlotCounts(0, 4)
	})

	// Guards against a minority that takes over, and against an operator's confirmation that has no effect.
	It("removes members that are down, but half of the roster only once confirmed", func() {
		b := settled(5, 2, 4)
		lost := b.in.Members[3:]
		b.in.Members = b.in.Members[:3]
		b.run(policy.DownTimeout - time.Second)
		Expect(b.in.Table.Roster()).To(HaveLen(5))
		b.run(2 * time.Second)
		Expect(b.in.Table.Roster()).To(HaveLen(3))
		b.in.Members = append(b.in.Members, lost[0])
		b.run(time.Second)
		b.in.Members = b.in.Members[:2]
		b.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		b.run(time.Minute)
		Expect(b.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(2))
		b.in.ConfirmedLost = []string{"m02", "m03"}
		b.run(5 * time.Second)
		Expect(b.in.Table.Roster()).To(HaveLen(2))
		b.expectSlotCounts(0, 4)
	})
})

var _ = Describe("Planner's moves", func() {
	// Guards against a release of an earlier move that ends a later move of the same slot.
	It("takes a release only from the epoch of the move, and restarts waits after a takeover", func() {
		b := settled(3, 2, 4)
		b.in.DrainTargets = []string{"t0000"}
		b.expectStep("drain")
		b.expectStep()
		slot := b.in.Table.MovingFrom(nil, "t0000")[0]
		old := fulmarplan.Release{Target: "t0000", Service: "rota", Slots: []int{slot}, Epoch: b.in.Table.Epoch()}
		b.in.Table, _ = b.in.Table.With(fulmarslot.Cancel("rota", slot))
		b.in.Table, _ = b.in.Table.With(fulmarslot.Move("rota", slot, "t0001", false))
		b.in.Releases = []fulmarplan.Release{old}
		b.expectStep()
		b.in.Releases[0].Epoch = b.in.Table.Epoch()
		b.expectStep("commit-release")
	})

	// Guards against refusing requests for long because running work delays a move.
	It("cancels a stuck move and waits longer each time", func() {
		b := settled(3, 2, 4)
		b.in.Targets = append(b.in.Targets, fulmarslot.Target{ID: "t0002", Service: "rota", Fenced: true})
		moving := make([]int, 4)
		for range 600 {
			b.step()
			for slot := range b.in.Table.MovingSlots("rota") {
				moving[slot]++
			}
			b.now = b.now.Add(100 * time.Millisecond)
		}
		Expect(moving).To(ContainElement(BeNumerically(">", 0)))
		Expect(moving).To(HaveEach(BeNumerically("<", 150)), "of 600 steps")
	})

	// Guards against new work for a leaving target (I6).
	It("does not cancel a move away from a leaving target", func() {
		b := settled(3, 2, 4)
		b.in.DrainTargets = []string{"t0000"}
		b.expectStep("drain")
		b.now = b.now.Add(time.Minute)
		b.expectStep()
	})

	// Guards against a drain that makes too many slots unavailable at once.
	It("bounds the moves of a drain", func() {
		b := settled(3, 3, 300)
		b.in.Targets[0].Leaving = true
		b.step()
		Expect(b.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(policy.MaxMoving))
		b.run(3 * time.Second)
		b.expectSlotCounts(0, 150, 150)
	})

	// Guards against more than 1.1 times the minimum number of ownership changes.
	It("moves little more than it must after a join, a loss and a return", func() {
		b := settled(3, 4, 1000)
		b.in.Targets = append(b.in.Targets, fulmarslot.Target{ID: "t0004", Service: "rota", Fenced: true})
		Expect(b.runCountingMoves(20 * time.Second)).To(BeNumerically("<=", 220))
		b.expectSlotCounts(200, 200, 200, 200, 200)
		b.in.Losses = []fulmarplan.Loss{{Target: "t0002"}}
		Expect(b.runCountingMoves(20 * time.Second)).To(BeNumerically("<=", 220))
		b.expectSlotCounts(250, 250, 0, 250, 250)
		b.in.Losses = nil
		Expect(b.runCountingMoves(20 * time.Second)).To(BeNumerically("<=", 220))
		b.expectSlotCounts(200, 200, 200, 200, 200)
		b.in.Targets = slices.Delete(b.in.Targets, 2, 3)
		b.in.DrainTargets = []string{"t0002"}
		b.run(20 * time.Second)
		b.expectSlotCounts(250, 250, 250, 250)
	})

	// Guards against a target without fencing that runs orders for a slot that has moved to another target.
	It("moves slots of a target that checks no fence by release, or late once its dispatcher is lost", func() {
		b := newBench(3, 2, 4)
		b.in.Targets[0].Fenced = false
		b.run(3 * time.Second)
		x, _ := b.in.Table.Target("t0000")
		b.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		b.step()
		b.now = b.now.Add(time.Minute)
		b.expectStep()
		b.in.Members = slices.DeleteFunc(b.in.Members, func(m fulmarslot.Member) bool { return m.ID == x.Dispatcher })
		b.expectStep("target-dispatcher")
		b.expectStep()
		b.now = b.now.Add(2400 * time.Millisecond)
		b.expectStep()
		b.now = b.now.Add(3 * time.Millisecond)
		b.expectStep("target-dispatcher", "commit-forced")
		y, _ := b.in.Table.Target("t0000")
		Expect(y.Dispatcher).NotTo(Or(BeEmpty(), Equal(x.Dispatcher)))
	})
})

var _ = Describe("Planner's quarantine", func() {
	// Guards against a request that brings down a third target, and against condemning harmless requests because a loss is
	// reported repeatedly.
	It("marks suspects with the moves and condemns those of a second loss", func() {
		b := settled(3, 3, 6)
		b.in.Losses = []fulmarplan.Loss{{Target: "t0000", Suspects: []uint64{1, 2}}}
		b.expectStep("move-forced", "quarantine-put")
		b.run(2 * time.Second)
		b.planner = fulmarplan.New(policy, 2)
		b.run(2 * time.Second)
		Expect(b.in.Table.Quarantined()).To(HaveEach(HaveField("Condemned", false)))
		b.in.Losses = append(b.in.Losses, fulmarplan.Loss{Target: "t0001", Suspects: []uint64{1}})
		b.run(2 * time.Second)
		Expect(b.in.Table.Quarantined()[0].Condemned).To(BeTrue())
		Expect(b.in.Table.Quarantined()[1].Condemned).To(BeFalse())
		b.in.LiftFingerprints = []uint64{1}
		b.expectStep("quarantine-lift")
		b.now = b.now.Add(policy.QuarantineTTL)
		b.expectStep("quarantine-lift")
		b.expectStep()
	})
})

// setLoad reports one second of load: slot i uses weight(i) ms and key, if not zero, uses 900 ms.
func (b *harness) setLoad(key uint64, weight func(slot int) int) {
	b.in.Loads = nil
	for slot := range b.in.Table.Slots("rota") {
		b.in.Loads = append(b.in.Loads, fulmarplan.Load{Service: "rota", Slot: slot, Used: time.Duration(weight(slot)) * time.Millisecond})
	}
	if key != 0 {
		slot, ok := b.in.Table.HotKeySlot("rota", key)
		if !ok {
			slot = int(key % uint64(b.in.Table.PlainSlots("rota")))
		}
		b.in.Loads[slot].Used += 900 * time.Millisecond
		b.in.Loads = append(b.in.Loads, fulmarplan.Load{Service: "rota", Slot: slot, Hash: key, Used: 900 * time.Millisecond})
	}
}

// runSeconds runs for n seconds with the given load and returns the number of moves started.
func (b *harness) runSeconds(n int, load func(second int)) int {
	moves := 0
	for i := range n {
		load(i)
		b.step()
		b.in.Loads = nil
		moves += b.runCountingMoves(time.Second)
	}
	return moves
}

var _ = Describe("Planner's balance", func() {
	// Guards against imbalance above 1.25 with a hot key, and against keeping the slots of keys that are no longer hot.
	It("gives a hot key a slot of its own and takes it back", func() {
		b := settled(3, 4, 64)
		b.runSeconds(180, func(int) { b.setLoad(1001, func(int) int { return 50 }) })
		Expect(b.in.Table.Slots("rota")).To(Equal(65))
		used := map[string]int{}
		for slot := range 65 {
			used[b.in.Table.Assignment("rota", slot).Owner] += 50
		}
		used[b.in.Table.Assignment("rota", 64).Owner] += 900
		for id, ms := range used {
			Expect(ms).To(BeNumerically("<=", 1.25*(65*50+900)/4), id)
		}
		b.runSeconds(120, func(int) { b.setLoad(0, func(slot int) int { return 50 * (1 - slot/64) }) })
		_, hot := b.in.Table.HotKeySlot("rota", 1001)
		Expect(hot).To(BeFalse(), fmt.Sprint(used))
	})

	// Guards against false or alternating reports that move keys back and forth.
	It("moves few slots under alternating reports and none under noise", func() {
		b := settled(3, 4, 64)
		Expect(b.runSeconds(120, func(i int) { b.setLoad(0, func(slot int) int { return 40 + (slot*7+i*13)%20 }) })).To(BeZero())
		path := make([][]string, 64) // owners of each slot
		b.runSeconds(600, func(i int) {
			for slot := range path {
				if o := b.in.Table.Assignment("rota", slot).Owner; len(path[slot]) == 0 || o != path[slot][len(path[slot])-1] {
					path[slot] = append(path[slot], o)
				}
			}
			loud := fmt.Sprintf("t%04d", i/10%4)
			b.setLoad(0, func(slot int) int {
				if slot < 64 && b.in.Table.Assignment("rota", slot).Owner == loud {
					return 500
				}
				return 50
			})
		})
		for _, owners := range path {
			Expect(len(owners)).To(BeNumerically("<=", 5), "owners of a slot in 10 min")
			for i := 2; i < len(owners); i++ {
				Expect(owners[i]).NotTo(Equal(owners[i-2]), "a slot returned at once")
			}
		}
	})
})

func ExamplePlanner_Step() {
	p := fulmarplan.New(policy, 1)
	out := p.Step(time.Unix(0, 0), fulmarplan.Input{
		Table:    fulmarslot.New(map[string]int{"rota-board": 4}),
		Members:  []fulmarslot.Member{{ID: "entry-1", Incarnation: 1}},
		Targets:  []fulmarslot.Target{{ID: "rota-1", Service: "rota-board", Fenced: true}},
		Services: map[string]int{"rota-board": 4},
	})
	fmt.Println(out.Reasons)
	// Output: [target-add roster-found assign]
}

func BenchmarkStep(b *testing.B) {
	for _, slots := range []int{1 << 10, 1 << 16, 1 << 20} {
		for _, members := range []int{3, 27, 81} {
			x := newBench(members, 20, slots)
			x.run(3 * time.Second)
			b.Run(fmt.Sprintf("slots=%d/members=%d", slots, members), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					x.planner.Step(x.now, x.in)
				}
			})
			x.in.Losses = []fulmarplan.Loss{{Target: "t0001"}}
			b.Run(fmt.Sprintf("loss/slots=%d/members=%d", slots, members), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					x.planner.Step(x.now, x.in)
				}
			})
		}
	}
}
