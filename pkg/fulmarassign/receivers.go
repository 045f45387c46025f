package fulmarassign

import (
	"cmp"
	"container/heap"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// receiver is a target that can receive keys, with the marginal cost of a request there.
type receiver struct {
	target int
	cost   float64
}

// receivers is a heap of the targets that can receive keys, those with the lowest marginal cost first. After the loss of a data
// centre, thousands of ranges get owners one after another.
type receivers struct {
	*planner
	list []receiver
}

// receivers returns the targets that can receive keys.
func (p *planner) receivers() *receivers {
	r := &receivers{planner: p}
	for i := range p.targets {
		if p.canReceive(i) {
			r.list = append(r.list, receiver{i, p.marginalCostAt(i, p.load[i])})
		}
	}
	heap.Init(r)
	return r
}

// assign adds a load to the target with the lowest marginal cost and returns that target.
func (r *receivers) assign(rate float64) fulmarrange.Incarnation {
	i := r.list[0].target
	r.load[i] += rate
	r.list[0].cost = r.marginalCostAt(i, r.load[i])
	heap.Fix(r, 0)
	return r.targets[i].Incarnation
}

// Len is part of heap.Interface.
func (r *receivers) Len() int { return len(r.list) }

// Less is part of heap.Interface.
func (r *receivers) Less(i, j int) bool {
	a, b := r.list[i], r.list[j]
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.target, b.target)) < 0
}

// Swap is part of heap.Interface.
func (r *receivers) Swap(i, j int) { r.list[i], r.list[j] = r.list[j], r.list[i] }

// Push is part of heap.Interface.
func (r *receivers) Push(x any) { r.list = append(r.list, x.(receiver)) }

// Pop is part of heap.Interface.
func (r *receivers) Pop() any {
	last := r.list[len(r.list)-1]
	r.list = r.list[:len(r.list)-1]
	return last
}
