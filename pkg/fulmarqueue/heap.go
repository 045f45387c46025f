package fulmarqueue

// groupHeap is a binary heap of the groups with eligible work in one lane.
type groupHeap struct {
	lane   lane
	groups []*group
}

func (h *groupHeap) top() *group {
	if len(h.groups) == 0 {
		return nil
	}
	return h.groups[0]
}

// fix inserts a group or restores its position.
func (h *groupHeap) fix(g *group) {
	if g.heapIndexes[h.lane] == noIndex {
		g.heapIndexes[h.lane] = int32(len(h.groups))
		h.groups = append(h.groups, g)
	}
	i := int(g.heapIndexes[h.lane])
	if !h.down(i) {
		h.up(i)
	}
}

func (h *groupHeap) remove(g *group) {
	i := int(g.heapIndexes[h.lane])
	if g.heapIndexes[h.lane] == noIndex {
		return
	}
	g.heapIndexes[h.lane] = noIndex
	last := len(h.groups) - 1
	moved := h.groups[last]
	h.groups[last] = nil
	h.groups = h.groups[:last]
	if i == last {
		return
	}
	h.set(i, moved)
	if !h.down(i) {
		h.up(i)
	}
}

func (h *groupHeap) set(i int, g *group) {
	h.groups[i] = g
	g.heapIndexes[h.lane] = int32(i)
}

func (h *groupHeap) up(i int) {
	g := h.groups[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !precedes(g, h.lane, h.groups[parent], h.lane) {
			break
		}
		h.set(i, h.groups[parent])
		i = parent
	}
	h.set(i, g)
}

// down reports whether the group at i moved.
func (h *groupHeap) down(i int) bool {
	g, from := h.groups[i], i
	for {
		child := 2*i + 1
		if child >= len(h.groups) {
			break
		}
		if right := child + 1; right < len(h.groups) && precedes(h.groups[right], h.lane, h.groups[child], h.lane) {
			child = right
		}
		if !precedes(h.groups[child], h.lane, g, h.lane) {
			break
		}
		h.set(i, h.groups[child])
		i = child
	}
	h.set(i, g)
	return i != from
}

// deadlineHeap is a 4-ary heap of waiting nodes by deadline. Four children per
// element keep it shallow, because the earliest deadline is removed most often.
type deadlineHeap []deadlineEntry

type deadlineEntry struct {
	deadline int64
	node     int32
}

const arity = 4

func (q *Queue[T]) pushDeadline(i int32) {
	q.deadlines = append(q.deadlines, deadlineEntry{q.nodes[i].deadline, i})
	q.upDeadline(len(q.deadlines) - 1)
}

func (q *Queue[T]) removeDeadline(index int32) {
	h := q.deadlines
	i, last := int(index), len(h)-1
	q.nodes[h[i].node].index = noIndex
	moved := h[last]
	q.deadlines = h[:last]
	if i == last {
		return
	}
	h[i] = moved
	q.downDeadline(i)
	q.upDeadline(int(q.nodes[moved.node].index))
}

func (q *Queue[T]) upDeadline(i int) {
	h := q.deadlines
	d := h[i]
	for i > 0 {
		parent := (i - 1) / arity
		if h[parent].deadline <= d.deadline {
			break
		}
		h[i] = h[parent]
		q.nodes[h[i].node].index = int32(i)
		i = parent
	}
	h[i] = d
	q.nodes[d.node].index = int32(i)
}

func (q *Queue[T]) downDeadline(i int) {
	h := q.deadlines
	d := h[i]
	for {
		child := arity*i + 1
		if child >= len(h) {
			break
		}
		for c, end := child+1, min(child+arity, len(h)); c < end; c++ {
			if h[c].deadline < h[child].deadline {
				child = c
			}
		}
		if h[child].deadline >= d.deadline {
			break
		}
		h[i] = h[child]
		q.nodes[h[i].node].index = int32(i)
		i = child
	}
	h[i] = d
	q.nodes[d.node].index = int32(i)
}
