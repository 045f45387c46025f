package fulmarqueue

import "time"

// list is a doubly linked list of waiting nodes, oldest first.
type list struct {
	head, tail int32
	headSeq    uint64        // sequence number of the head
	cost       time.Duration // expected server time of the nodes
}

// group holds the virtual time and the waiting items of one group.
type group struct {
	name        string
	weight      float64
	maxQueued   int
	virtualTime float64 // server time charged / weight, in seconds
	lists       [laneCount]list
	heapIndexes [laneCount]int32 // index in each heap, or noIndex
	waiting     int
	running     int

	idleAt     int64 // when it became idle, in nanoseconds since the queue's base
	idle       bool
	prev, next *group // neighbours in the list of idle groups
}

func (g *group) setLimits(l Limits) {
	g.weight, g.maxQueued = l.Weight, l.MaxQueued
	if !(g.weight > 0) {
		g.weight = DefaultWeight
	}
	if g.maxQueued <= 0 {
		g.maxQueued = DefaultMaxQueued
	}
}

// precedes reports whether lane l of g precedes lane m of h in service order.
func precedes(g *group, l lane, h *group, m lane) bool {
	if g.virtualTime != h.virtualTime {
		return g.virtualTime < h.virtualTime
	}
	return g.lists[l].headSeq < h.lists[m].headSeq
}

// idleList holds the idle groups, longest idle first.
type idleList struct{ head, tail *group }

func (l *idleList) push(g *group) {
	g.prev, g.next, g.idle = l.tail, nil, true
	if l.tail != nil {
		l.tail.next = g
	} else {
		l.head = g
	}
	l.tail = g
}

func (l *idleList) remove(g *group) {
	if g.prev != nil {
		g.prev.next = g.next
	} else {
		l.head = g.next
	}
	if g.next != nil {
		g.next.prev = g.prev
	} else {
		l.tail = g.prev
	}
	g.prev, g.next, g.idle = nil, nil, false
}

// group returns the named group and adds it, idle, if it is missing.
func (q *Queue[T]) group(name string) *group {
	if g := q.groups[name]; g != nil {
		return g
	}
	var g *group
	if last := len(q.freeGroups) - 1; last >= 0 {
		g, q.freeGroups = q.freeGroups[last], q.freeGroups[:last]
		*g = group{}
	} else {
		g = &group{}
	}
	g.name, g.idleAt = name, q.latest
	g.setLimits(q.limits[name])
	for l := range laneCount {
		g.lists[l].head, g.lists[l].tail = noIndex, noIndex
		g.heapIndexes[l] = noIndex
	}
	q.groups[name] = g
	q.idleGroups.push(g)
	q.groupCountChanged()
	return g
}

// markIdle adds a group to the idle list if it has no waiting or running items.
func (q *Queue[T]) markIdle(g *group) {
	if g.waiting+g.running == 0 && !g.idle {
		g.idleAt = q.latest
		q.idleGroups.push(g)
	}
}

// dropIdleGroups drops groups that have been idle for idleGroupTTL, at most
// maxDropsPerCall of them. It records now as the latest time and returns it in
// nanoseconds since the queue's base.
func (q *Queue[T]) dropIdleGroups(now time.Time) int64 {
	at := q.sinceBase(now)
	q.latest = max(q.latest, at)
	for range maxDropsPerCall {
		g := q.idleGroups.head
		if g == nil || q.latest-g.idleAt < int64(idleGroupTTL) {
			break
		}
		q.idleGroups.remove(g)
		delete(q.groups, g.name)
		g.name = ""
		q.freeGroups = append(q.freeGroups, g)
		q.groupCountChanged()
	}
	return at
}

// enqueue appends a waiting node to the list of its group and lane.
func (q *Queue[T]) enqueue(i int32) {
	n := &q.nodes[i]
	g := n.group
	s := &g.lists[n.lane]
	if g.idle {
		q.idleGroups.remove(g)
	}
	if g.waiting == 0 {
		q.waitingWeight += g.weight
		q.waitingGroups++
	}
	raised := false
	if s.head == noIndex && (g.waiting == 0 || n.lane == laneShort) {
		// The virtual time is also raised for short work while long work
		// waits: the group must not accumulate credit while its long work
		// waits for a slot.
		if g.virtualTime < q.virtualClock {
			g.virtualTime, raised = q.virtualClock, true
		}
	}
	n.prev, n.next = s.tail, noIndex
	if s.tail != noIndex {
		q.nodes[s.tail].next = i
	} else {
		s.head, s.headSeq = i, n.seq
	}
	s.tail = i
	g.waiting++
	q.waiting++
	s.cost += n.item.Cost
	q.waitingCost[n.lane] += n.item.Cost
	if raised || s.head == i {
		q.updateHeaps(g)
	}
}

// unlink removes a node from its list of waiting nodes; the caller must call
// updateHeaps for its group.
func (q *Queue[T]) unlink(i int32) {
	n := &q.nodes[i]
	g := n.group
	s := &g.lists[n.lane]
	if n.prev != noIndex {
		q.nodes[n.prev].next = n.next
	} else {
		s.head = n.next
		if s.head != noIndex {
			s.headSeq = q.nodes[s.head].seq
		}
	}
	if n.next != noIndex {
		q.nodes[n.next].prev = n.prev
	} else {
		s.tail = n.prev
	}
	g.waiting--
	q.waiting--
	s.cost -= n.item.Cost
	q.waitingCost[n.lane] -= n.item.Cost
	if g.waiting == 0 {
		q.waitingGroups--
		q.waitingWeight -= g.weight
		if q.waitingGroups == 0 {
			q.waitingWeight = 0 // discards accumulated rounding errors
		}
	}
	if n.index != noIndex {
		q.removeDeadline(n.index)
	}
	if q.reservedNode == i {
		q.reservedNode = noIndex
	}
}

// updateHeaps inserts, moves or removes a group in each lane's heap according to
// whether it has eligible work there.
func (q *Queue[T]) updateHeaps(g *group) {
	atShareLimit := q.discipline == Static && g.running >= q.staticShare()
	for l := range laneCount {
		if atShareLimit || g.lists[l].head == noIndex {
			q.heaps[l].remove(g)
		} else {
			q.heaps[l].fix(g)
		}
	}
}

// staticShare returns the number of slots of each group under Static.
func (q *Queue[T]) staticShare() int {
	n := len(q.limits)
	if n == 0 {
		n = len(q.groups)
	}
	return max(1, q.slots/max(n, 1))
}

// groupCountChanged updates the heaps if the number of groups determines the
// share of each group.
func (q *Queue[T]) groupCountChanged() {
	if len(q.limits) == 0 {
		q.updateStaticHeaps()
	}
}

// updateStaticHeaps updates the heaps of all groups under Static, after the
// share of each group changed.
func (q *Queue[T]) updateStaticHeaps() {
	if q.discipline != Static {
		return
	}
	for _, g := range q.groups {
		q.updateHeaps(g)
	}
}
