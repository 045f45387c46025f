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

// fix inserts a group or restores its place.
func (h *groupHeap) fix(g *group) {
	if g.places[h.lane] == none {
		g.places[h.lane] = int32(len(h.groups))
		h.groups = append(h.groups, g)
	}
	i := int(g.places[h.lane])
	if !h.down(i) {
		h.up(i)
	}
}

func (h *groupHeap) remove(g *group) {
	i := int(g.places[h.lane])
	if g.places[h.lane] == none {
		return
	}
	g.places[h.lane] = none
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
	g.places[h.lane] = int32(i)
}

func (h *groupHeap) up(i int) {
	g := h.groups[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !before(g, h.lane, h.groups[parent], h.lane) {
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
		if right := child + 1; right < len(h.groups) && before(h.groups[right], h.lane, h.groups[child], h.lane) {
			child = right
		}
		if !before(h.groups[child], h.lane, g, h.lane) {
			break
		}
		h.set(i, h.groups[child])
		i = child
	}
	h.set(i, g)
	return i != from
}

// deadlineHeap is a heap of waiting nodes by deadline. Four children for each
// element keep it shallow, because the oldest element is removed most often.
type deadlineHeap []due

type due struct {
	at   int64
	node int32
}

const arity = 4

func (q *Queue[T]) pushDeadline(i int32) {
	q.deadlines = append(q.deadlines, due{q.nodes[i].deadline, i})
	q.upDeadline(len(q.deadlines) - 1)
}

func (q *Queue[T]) removeDeadline(spot int32) {
	h := q.deadlines
	i, last := int(spot), len(h)-1
	q.nodes[h[i].node].spot = none
	moved := h[last]
	q.deadlines = h[:last]
	if i == last {
		return
	}
	h[i] = moved
	q.downDeadline(i)
	q.upDeadline(int(q.nodes[moved.node].spot))
}

func (q *Queue[T]) upDeadline(i int) {
	h := q.deadlines
	d := h[i]
	for i > 0 {
		parent := (i - 1) / arity
		if h[parent].at <= d.at {
			break
		}
		h[i] = h[parent]
		q.nodes[h[i].node].spot = int32(i)
		i = parent
	}
	h[i] = d
	q.nodes[d.node].spot = int32(i)
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
			if h[c].at < h[child].at {
				child = c
			}
		}
		if h[child].at >= d.at {
			break
		}
		h[i] = h[child]
		q.nodes[h[i].node].spot = int32(i)
		i = child
	}
	h[i] = d
	q.nodes[d.node].spot = int32(i)
}
