package fulmarplan

import (
	"cmp"
	"container/heap"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// even gives out slots to the targets of a service, to the one with the fewest slots first.
type even struct{ queue }

type queued struct {
	id    string
	share int
	tie   uint64
}

// queue is a heap of targets by number of slots.
type queue []queued

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].share, q[j].share), cmp.Compare(q[i].tie, q[j].tie), cmp.Compare(q[i].id, q[j].id)) < 0
}
func (q *queue) Push(x any) { *q = append(*q, x.(queued)) }

// Pop removes the last element for package heap.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *step) newEven(service string) *even {
	e := &even{}
	for _, id := range s.usable[service] {
		e.queue = append(e.queue, queued{id, s.share[id], s.tie(service, id)})
	}
	heap.Init(&e.queue)
	return e
}

// next returns the target for one more slot, which is not owner.
func (e *even) next(owner string) (string, bool) {
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
	e.queue[0].share++
	heap.Fix(&e.queue, 0)
	return id, true
}

// maxAssign bounds the slots that one step assigns, and so the memory of its changes.
const maxAssign = 1 << 16

// assign gives slots without an owner to the targets with the fewest slots.
func (s *step) assign() {
	given := 0
	for _, service := range s.table.Services() {
		even := s.newEven(service)
		for slot := range s.table.Unowned(service) {
			to, ok := even.next("")
			if !ok {
				break
			}
			if given == maxAssign {
				s.wake(s.now)
				return
			}
			given++
			s.share[to]++
			s.touch(place{service, slot})
			s.add("assign", fulmarslot.Assign(service, slot, to))
		}
	}
}

// drain moves slots away from targets that leave or that operators drain.
func (s *step) drain() {
	for _, service := range s.table.Services() {
		even := s.newEven(service)
		if len(even.queue) == 0 {
			continue
		}
		for _, t := range s.table.Targets() {
			if t.Service != service || !s.leaves(t.ID) {
				continue
			}
			for _, slot := range s.table.OwnedBy(nil, t.ID) {
				if s.moving >= s.policy.Moving {
					return
				}
				at := place{service, slot}
				if s.touched[at] || !s.passed(s.retry[at].until) {
					continue
				}
				if to, ok := even.next(t.ID); ok {
					s.cooperate(at, t.ID, to, "drain")
				}
			}
		}
	}
}
