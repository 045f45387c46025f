package fulmarplan

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// baseWeightShare is the weight of a slot without load, as a fraction of the mean slot load. It distributes idle slots
// evenly as well.
const baseWeightShare = 0.05

// allocator assigns slots to the targets of a service, always to the one with the lowest weight. Slots are weighted by
// load, so that rebalancing need not move them again. Without load, all slots have the same weight.
type allocator struct {
	targetHeap
	rate       []float64 // load by slot, nil if the service has no load
	baseWeight float64   // weight of each slot in addition to its load
}

type heapEntry struct {
	id       string
	weight   float64
	tieBreak uint64
}

// targetHeap is a min-heap of targets by weight.
type targetHeap []heapEntry

func (q targetHeap) Len() int      { return len(q) }
func (q targetHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q targetHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].weight, q[j].weight), cmp.Compare(q[i].tieBreak, q[j].tieBreak), cmp.Compare(q[i].id, q[j].id)) < 0
}
func (q *targetHeap) Push(x any) { *q = append(*q, x.(heapEntry)) }

// Pop removes the last element for package heap.
func (q *targetHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *step) newAllocator(service string) *allocator {
	e := &allocator{baseWeight: 1}
	loaded := s.targetLoads(service, e)
	for _, id := range s.usableTargets[service] {
		weight := loaded[id] + e.baseWeight*float64(s.slotCount[id])
		e.targetHeap = append(e.targetHeap, heapEntry{id, weight, s.tieBreak(service, id)})
	}
	heap.Init(&e.targetHeap)
	return e
}

// targetLoads returns the load of each target of a service as if all moves in progress were done, or nil if there is no
// load. It also sets the slot weights of e.
func (s *step) targetLoads(service string, e *allocator) map[string]float64 {
	l := s.loads[service]
	n := min(len(l.rate), s.table.Slots(service))
	total := 0.0
	for _, rate := range l.rate[:n] {
		total += rate
	}
	if total <= 0 {
		return nil
	}
	e.rate, e.baseWeight = l.rate[:n], baseWeightShare*total/float64(n)
	loaded := make(map[string]float64)
	for slot, rate := range e.rate {
		if rate > 0 {
			a := s.table.Assignment(service, slot)
			loaded[cmp.Or(a.Next, a.Owner)] += rate
		}
	}
	return loaded
}

// weight returns the weight of a slot.
func (e *allocator) weight(slot int) float64 {
	if slot < len(e.rate) {
		return e.rate[slot] + e.baseWeight
	}
	return e.baseWeight
}

// sortByWeight sorts slots in place, the heaviest first, which distributes them most evenly.
func (e *allocator) sortByWeight(slots []int) []int {
	if e.rate != nil {
		slices.SortStableFunc(slots, func(a, b int) int { return cmp.Compare(e.weight(b), e.weight(a)) })
	}
	return slots
}

// allocate returns the target for a slot, other than owner, and adds the slot's weight to it.
func (e *allocator) allocate(slot int, owner string) (string, bool) {
	if len(e.targetHeap) == 0 {
		return "", false
	}
	if e.targetHeap[0].id == owner {
		if len(e.targetHeap) == 1 {
			return "", false
		}
		first := heap.Pop(&e.targetHeap).(heapEntry)
		defer heap.Push(&e.targetHeap, first)
	}
	id := e.targetHeap[0].id
	e.targetHeap[0].weight += e.weight(slot)
	heap.Fix(&e.targetHeap, 0)
	return id, true
}

// maxAssignPerStep limits the slots assigned in one step, and so the memory for its changes.
const maxAssignPerStep = 1 << 16

// assignUnowned assigns slots without an owner to the targets with the lowest weight.
func (s *step) assignUnowned() {
	given := 0
	for _, service := range s.table.Services() {
		var e *allocator
		for slot := range s.table.UnownedSlots(service) {
			if e == nil {
				e = s.newAllocator(service)
			}
			to, ok := e.allocate(slot, "")
			if !ok {
				break
			}
			if given == maxAssignPerStep {
				s.requestStepBy(s.now)
				return
			}
			given++
			s.slotCount[to]++
			s.claimSlot(slotRef{service, slot})
			s.add("assign", fulmarslot.Assign(service, slot, to))
		}
	}
}

// drainSlots moves slots away from targets that are leaving or being drained by an operator.
func (s *step) drainSlots() {
	for _, service := range s.table.Services() {
		var e *allocator
		for _, t := range s.table.Targets() {
			if t.Service != service || !s.isLeaving(t.ID) {
				continue
			}
			if e == nil {
				e = s.newAllocator(service)
			}
			for _, slot := range e.sortByWeight(s.table.OwnedBy(nil, t.ID)) {
				if s.movingCount >= s.policy.MaxMoving {
					return
				}
				ref := slotRef{service, slot}
				if s.changedSlots[ref] || !s.reached(s.backoffs[ref].until) {
					continue
				}
				if to, ok := e.allocate(slot, t.ID); ok {
					s.startMove(ref, t.ID, to, "drain")
				}
			}
		}
	}
}
