package fulmarplan

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// idleShare is what a slot weighs without load, as a part of the mean load of a slot, so that slots without load are
// spread as well.
const idleShare = 0.05

// spreader gives out slots to the targets of a service, to the one that weighs least first. Slots weigh what they are
// loaded with, so that balance need not move them again; without load each slot weighs the same.
type spreader struct {
	queue
	rate []float64 // by slot, nil without load
	idle float64   // what each slot weighs in addition to its load
}

type queued struct {
	id     string
	weight float64
	tie    uint64
}

// queue is a heap of targets by weight.
type queue []queued

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].weight, q[j].weight), cmp.Compare(q[i].tie, q[j].tie), cmp.Compare(q[i].id, q[j].id)) < 0
}
func (q *queue) Push(x any) { *q = append(*q, x.(queued)) }

// Pop removes the last element for package heap.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *step) newSpreader(service string) *spreader {
	e := &spreader{idle: 1}
	loaded := s.targetLoads(service, e)
	for _, id := range s.usable[service] {
		weight := loaded[id] + e.idle*float64(s.share[id])
		e.queue = append(e.queue, queued{id, weight, s.tie(service, id)})
	}
	heap.Init(&e.queue)
	return e
}

// targetLoads returns the load of each target of a service, moves under way taken as done; nil if there is none.
func (s *step) targetLoads(service string, e *spreader) map[string]float64 {
	l := s.loads[service]
	n := min(len(l.rate), s.table.Slots(service))
	total := 0.0
	for _, rate := range l.rate[:n] {
		total += rate
	}
	if total <= 0 {
		return nil
	}
	e.rate, e.idle = l.rate[:n], idleShare*total/float64(n)
	loaded := make(map[string]float64)
	for slot, rate := range e.rate {
		if rate > 0 {
			a := s.table.Assignment(service, slot)
			loaded[cmp.Or(a.Next, a.Owner)] += rate
		}
	}
	return loaded
}

// weight returns what a slot weighs.
func (e *spreader) weight(slot int) float64 {
	if slot < len(e.rate) {
		return e.rate[slot] + e.idle
	}
	return e.idle
}

// heaviest sorts slots in place, the heaviest first, which spreads them most evenly.
func (e *spreader) heaviest(slots []int) []int {
	if e.rate != nil {
		slices.SortStableFunc(slots, func(a, b int) int { return cmp.Compare(e.weight(b), e.weight(a)) })
	}
	return slots
}

// next returns the target for one more slot, which is not owner.
func (e *spreader) next(slot int, owner string) (string, bool) {
	if len(e.queue) == 0 {
		return "", false
	}
	if e.queue[0].id == owner {
		if len(e.queue) == 1 {
			return "", false
		}
		first := heap.Pop(&e.queue).(queued)
		defer heap.Push(&e.queue, first)
	}
	id := e.queue[0].id
	e.queue[0].weight += e.weight(slot)
	heap.Fix(&e.queue, 0)
	return id, true
}

// maxAssign bounds the slots that one step assigns, and so the memory of its changes.
const maxAssign = 1 << 16

// assign gives slots without an owner to the targets with the fewest slots.
func (s *step) assign() {
	given := 0
	for _, service := range s.table.Services() {
		var e *spreader
		for slot := range s.table.UnownedSlots(service) {
			if e == nil {
				e = s.newSpreader(service)
			}
			to, ok := e.next(slot, "")
			if !ok {
				break
			}
			if given == maxAssign {
				s.wake(s.now)
				return
			}
			given++
			s.share[to]++
			s.claim(place{service, slot})
			s.add("assign", fulmarslot.Assign(service, slot, to))
		}
	}
}

// drain moves slots away from targets that leave or that operators drain.
func (s *step) drain() {
	for _, service := range s.table.Services() {
		var e *spreader
		for _, t := range s.table.Targets() {
			if t.Service != service || !s.leaves(t.ID) {
				continue
			}
			if e == nil {
				e = s.newSpreader(service)
			}
			for _, slot := range e.heaviest(s.table.OwnedBy(nil, t.ID)) {
				if s.moving >= s.policy.MaxMoving {
					return
				}
				at := place{service, slot}
				if s.claimed[at] || !s.passed(s.retry[at].until) {
					continue
				}
				if to, ok := e.next(slot, t.ID); ok {
					s.startMove(at, t.ID, to, "drain")
				}
			}
		}
	}
}
