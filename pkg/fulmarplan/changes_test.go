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
func newSettledHarness(members, targets, slots int) *harness {
	h := newHarness(members, targets, slots)
	h.run(3 * time.Second)
	return h
}

func (h *harness) expectStep(reasons ...string) {
	GinkgoHelper()
	h.step()
	Expect(h.reasons).To(ConsistOf(reasons))
}

// runCountingMoves runs for d and returns the number of moves started.
func (h *harness) runCountingMoves(d time.Duration) int {
	moves := 0
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		h.release()
		before := h.in.Table
		h.step()
		for slot := range h.in.Table.MovingSlots("rota") {
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
		h := newSettledHarness(2, 1, 1)
		h.in.Members = append(h.in.Members, fulmarslot.Member{ID: "m90", Incarnation: 1}, fulmarslot.Member{ID: "m91", Incarnation: 1})
		h.withoutAck["m00"] = true
		h.expectStep("roster-add")
		h.expectStep()
		h.withoutAck["m00"] = false
		h.ack()
		h.expectStep("roster-add")
		h.expectStep()
		Expect(h.in.Table.Roster()).To(HaveLen(4))
	})

	// Guards against counting acknowledgements of a former process as those of its successor, and against counting two
	// processes with the same id.
	It("replaces incarnations with the same address only", func() {
		h := newSettledHarness(3, 1, 1)
		h.in.Members[1].Incarnation = 2
		h.expectStep("roster-replace")
		h.in.Members[1].Incarnation, h.in.Members[1].ControlAddress = 3, "elsewhere"
		h.expectStep("roster-moved")
		h.expectStep("roster-add")
		Expect(h.in.Table.Roster()[1].Incarnation).To(BeEquivalentTo(3))
		h = newSettledHarness(3, 2, 4)
		for i := range h.in.Members[1:] {
			h.in.Members[i+1].Incarnation, h.in.Members[i+1].ControlAddress = 2, "elsewhere"
		}
		h.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		h.run(time.Minute)
		Expect(h.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(2), "processes elsewhere acknowledged for the roster")
		h.in.ConfirmedLost = []string{"m01", "m02"}
		h.run(5 * time.Second)
		h.expectSlotCounts(0, 4)
	})

	// Guards against a minority that takes over, and against an operator's confirmation that has no effect.
	It("removes members that are down, but half of the roster only once confirmed", func() {
		h := newSettledHarness(5, 2, 4)
		lost := h.in.Members[3:]
		h.in.Members = h.in.Members[:3]
		h.run(policy.DownTimeout - time.Second)
		Expect(h.in.Table.Roster()).To(HaveLen(5))
		h.run(2 * time.Second)
		Expect(h.in.Table.Roster()).To(HaveLen(3))
		h.in.Members = append(h.in.Members, lost[0])
		h.run(time.Second)
		h.in.Members = h.in.Members[:2]
		h.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		h.run(time.Minute)
		Expect(h.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(2))
		h.in.ConfirmedLost = []string{"m02", "m03"}
		h.run(5 * time.Second)
		Expect(h.in.Table.Roster()).To(HaveLen(2))
		h.expectSlotCounts(0, 4)
	})
})

var _ = Describe("Planner's moves", func() {
	// Guards against a release of an earlier move that ends a later move of the same slot.
	It("takes a release only from the epoch of the move, and restarts waits after a takeover", func() {
		h := newSettledHarness(3, 2, 4)
		h.in.DrainTargets = []string{"t0000"}
		h.expectStep("drain")
		h.expectStep()
		slot := h.in.Table.MovingFrom(nil, "t0000")[0]
		old := fulmarplan.Release{Target: "t0000", Service: "rota", Slots: []int{slot}, Epoch: h.in.Table.Epoch()}
		h.in.Table, _ = h.in.Table.With(fulmarslot.Cancel("rota", slot))
		h.in.Table, _ = h.in.Table.With(fulmarslot.Move("rota", slot, "t0001", false))
		h.in.Releases = []fulmarplan.Release{old}
		h.expectStep()
		h.in.Releases[0].Epoch = h.in.Table.Epoch()
		h.expectStep("commit-release")
	})

	// Guards against refusing requests for long because running work delays a move.
	It("cancels a stuck move and waits longer each time", func() {
		h := newSettledHarness(3, 2, 4)
		h.in.Targets = append(h.in.Targets, fulmarslot.Target{ID: "t0002", Service: "rota", Fenced: true})
		moving := make([]int, 4)
		for range 600 {
			h.step()
			for slot := range h.in.Table.MovingSlots("rota") {
				moving[slot]++
			}
			h.now = h.now.Add(100 * time.Millisecond)
		}
		Expect(moving).To(ContainElement(BeNumerically(">", 0)))
		Expect(moving).To(HaveEach(BeNumerically("<", 150)), "of 600 steps")
	})

	// Guards against new work for a leaving target (I6).
	It("does not cancel a move away from a leaving target", func() {
		h := newSettledHarness(3, 2, 4)
		h.in.DrainTargets = []string{"t0000"}
		h.expectStep("drain")
		h.now = h.now.Add(time.Minute)
		h.expectStep()
	})

	// Guards against a drain that makes too many slots unavailable at once.
	It("bounds the moves of a drain", func() {
		h := newSettledHarness(3, 3, 300)
		h.in.Targets[0].Leaving = true
		h.step()
		Expect(h.in.Table.MovingFrom(nil, "t0000")).To(HaveLen(policy.MaxMoving))
		h.run(3 * time.Second)
		h.expectSlotCounts(0, 150, 150)
	})

	// Guards against more than 1.1 times the minimum number of ownership changes.
	It("moves little more than it must after a join, a loss and a return", func() {
		h := newSettledHarness(3, 4, 1000)
		h.in.Targets = append(h.in.Targets, fulmarslot.Target{ID: "t0004", Service: "rota", Fenced: true})
		Expect(h.runCountingMoves(20 * time.Second)).To(BeNumerically("<=", 220))
		h.expectSlotCounts(200, 200, 200, 200, 200)
		h.in.Losses = []fulmarplan.Loss{{Target: "t0002"}}
		Expect(h.runCountingMoves(20 * time.Second)).To(BeNumerically("<=", 220))
		h.expectSlotCounts(250, 250, 0, 250, 250)
		h.in.Losses = nil
		Expect(h.runCountingMoves(20 * time.Second)).To(BeNumerically("<=", 220))
		h.expectSlotCounts(200, 200, 200, 200, 200)
		h.in.Targets = slices.Delete(h.in.Targets, 2, 3)
		h.in.DrainTargets = []string{"t0002"}
		h.run(20 * time.Second)
		h.expectSlotCounts(250, 250, 250, 250)
	})

	// Guards against a target without fencing that runs orders for a slot that has moved to another target.
	It("moves slots of a target that checks no fence by release, or late once its dispatcher is lost", func() {
		h := newHarness(3, 2, 4)
		h.in.Targets[0].Fenced = false
		h.run(3 * time.Second)
		x, _ := h.in.Table.Target("t0000")
		h.in.Losses = []fulmarplan.Loss{{Target: "t0000"}}
		h.step()
		h.now = h.now.Add(time.Minute)
		h.expectStep()
		h.in.Members = slices.DeleteFunc(h.in.Members, func(m fulmarslot.Member) bool { return m.ID == x.Dispatcher })
		h.expectStep("target-dispatcher")
		h.expectStep()
		h.now = h.now.Add(2400 * time.Millisecond)
		h.expectStep()
		h.now = h.now.Add(3 * time.Millisecond)
		h.expectStep("target-dispatcher", "commit-forced")
		y, _ := h.in.Table.Target("t0000")
		Expect(y.Dispatcher).NotTo(Or(BeEmpty(), Equal(x.Dispatcher)))
	})
})

var _ = Describe("Planner's quarantine", func() {
	// Guards against a request that brings down a third target, and against condemning harmless requests because a loss is
	// reported repeatedly.
	It("marks suspects with the moves and condemns those of a second loss", func() {
		h := newSettledHarness(3, 3, 6)
		h.in.Losses = []fulmarplan.Loss{{Target: "t0000", Suspects: []uint64{1, 2}}}
		h.expectStep("move-forced", "quarantine-put")
		h.run(2 * time.Second)
		h.planner = fulmarplan.New(policy, 2)
		h.run(2 * time.Second)
		Expect(h.in.Table.Quarantined()).To(HaveEach(HaveField("Condemned", false)))
		h.in.Losses = append(h.in.Losses, fulmarplan.Loss{Target: "t0001", Suspects: []uint64{1}})
		h.run(2 * time.Second)
		Expect(h.in.Table.Quarantined()[0].Condemned).To(BeTrue())
		Expect(h.in.Table.Quarantined()[1].Condemned).To(BeFalse())
		h.in.LiftFingerprints = []uint64{1}
		h.expectStep("quarantine-lift")
		h.now = h.now.Add(policy.QuarantineTTL)
		h.expectStep("quarantine-lift")
		h.expectStep()
	})
})

// setLoad reports one second of load: slot i uses weight(i) ms and key, if not zero, uses 900 ms.
func (h *harness) setLoad(key uint64, weight func(slot int) int) {
	h.in.Loads = nil
	for slot := range h.in.Table.Slots("rota") {
		h.in.Loads = append(h.in.Loads, fulmarplan.Load{Service: "rota", Slot: slot, Used: time.Duration(weight(slot)) * time.Millisecond})
	}
	if key != 0 {
		slot, ok := h.in.Table.HotKeySlot("rota", key)
		if !ok {
			slot = int(key % uint64(h.in.Table.PlainSlots("rota")))
		}
		h.in.Loads[slot].Used += 900 * time.Millisecond
		h.in.Loads = append(h.in.Loads, fulmarplan.Load{Service: "rota", Slot: slot, Hash: key, Used: 900 * time.Millisecond})
	}
}

// runSeconds runs for n seconds with the given load and returns the number of moves started.
func (h *harness) runSeconds(n int, load func(second int)) int {
	moves := 0
	for i := range n {
		load(i)
		h.step()
		h.in.Loads = nil
		moves += h.runCountingMoves(time.Second)
	}
	return moves
}

var _ = Describe("Planner's balance", func() {
	// Guards against imbalance above 1.25 with a hot key, and against keeping the slots of keys that are no longer hot.
	It("gives a hot key a slot of its own and takes it back", func() {
		h := newSettledHarness(3, 4, 64)
		h.runSeconds(180, func(int) { h.setLoad(1001, func(int) int { return 50 }) })
		Expect(h.in.Table.Slots("rota")).To(Equal(65))
		used := map[string]int{}
		for slot := range 65 {
			used[h.in.Table.Assignment("rota", slot).Owner] += 50
		}
		used[h.in.Table.Assignment("rota", 64).Owner] += 900
		for id, ms := range used {
			Expect(ms).To(BeNumerically("<=", 1.25*(65*50+900)/4), id)
		}
		h.runSeconds(120, func(int) { h.setLoad(0, func(slot int) int { return 50 * (1 - slot/64) }) })
		_, hot := h.in.Table.HotKeySlot("rota", 1001)
		Expect(hot).To(BeFalse(), fmt.Sprint(used))
	})

	// Guards against false or alternating reports that move keys back and forth.
	It("moves few slots under alternating reports and none under noise", func() {
		h := newSettledHarness(3, 4, 64)
		Expect(h.runSeconds(120, func(i int) { h.setLoad(0, func(slot int) int { return 40 + (slot*7+i*13)%20 }) })).To(BeZero())
		path := make([][]string, 64) // owners of each slot
		h.runSeconds(600, func(i int) {
			for slot := range path {
				if o := h.in.Table.Assignment("rota", slot).Owner; len(path[slot]) == 0 || o != path[slot][len(path[slot])-1] {
					path[slot] = append(path[slot], o)
				}
			}
			loud := fmt.Sprintf("t%04d", i/10%4)
			h.setLoad(0, func(slot int) int {
				if slot < 64 && h.in.Table.Assignment("rota", slot).Owner == loud {
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
			x := newHarness(members, 20, slots)
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
