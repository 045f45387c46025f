package fulmarqueue

import "time"

// list is a doubly linked list of nodes, oldest first.
type list struct {
	head, tail int32
	first      uint64 // sequence number of the head
	cost       time.Duration
}

// group is the account and the waiting items of one group.
type group struct {
	name    string
	weight  float64
	queue   int
	virtual float64 // server time charged / weight, in seconds
	lists   [lanes]list
	places  [lanes]int32 // index in each heap, or none
	waiting int
	running int

	idleAt     int64
	idle       bool
	prev, next *group // neighbours in the list of idle groups
}

func (g *group) setLimits(l Limits) {
	g.weight, g.queue = l.Weight, l.MaxQueued
	if !(g.weight > 0) {
		g.weight = DefaultWeight
	}
	if g.queue <= 0 {
		g.queue = DefaultMaxQueued
	}
}

// before reports whether lane l of g precedes lane m of h in the order of service.
func before(g *group, l lane, h *group, m lane) bool {
	if g.virtual != h.virtual {
		return g.virtual < h.virtual
	}
	return g.lists[l].first < h.lists[m].first
}

// idleList holds the idle groups, longest idle first.
type idleList struct{ head, tail *group }

func (s *idleList) push(g *group) {
	g.prev, g.next, g.idle = s.tail, nil, true
	if s.tail != nil {
		s.tail.next = g
	} else {
		s.head = g
	}
	s.tail = g
}

func (s *idleList) remove(g *group) {
	if g.prev != nil {
		g.prev.next = g.next
	} else {
		s.head = g.next
	}
	if g.next != nil {
		g.next.prev = g.prev
	} else {
		s.tail = g.prev
	}
	g.prev, g.next, g.idle = nil, nil, false
}

// group returns the named group and adds it, idle, if it is missing.
func (q *Queue[T]) group(name string) *group {
	if g := q.groups[name]; g != nil {
		return g
	}
	var g *group
	if last := len(q.spare) - 1; last >= 0 {
		g, q.spare = q.spare[last], q.spare[:last]
		*g = group{}
	} else {
		g = &group{}
	}
	g.name, g.idleAt = name, q.last
	g.setLimits(q.limits[name])
	for l := range lanes {
		g.lists[l].head, g.lists[l].tail = none, none
		g.places[l] = none
	}
	q.groups[name] = g
	q.idle.push(g)
	q.recount()
	return g
}

// rest puts a group without waiting and running items into the idle list.
func (q *Queue[T]) rest(g *group) {
	if g.waiting+g.running == 0 && !g.idle {
		g.idleAt = q.last
		q.idle.push(g)
	}
}

// sweep notes the time, returns it since the queue's base, and drops groups
// that have been idle for idleHold.
func (q *Queue[T]) sweep(now time.Time) int64 {
	at := q.since(now)
	q.last = max(q.last, at)
	for range sweepBatch {
		g := q.idle.head
		if g == nil || q.last-g.idleAt < int64(idleHold) {
			break
		}
		q.idle.remove(g)
		delete(q.groups, g.name)
		g.name = ""
		q.spare = append(q.spare, g)
		q.recount()
	}
	return at
}

// enqueue appends a waiting node to the list of its group and lane.
func (q *Queue[T]) enqueue(i int32) {
	n := &q.nodes[i]
	g := n.group
	s := &g.lists[n.lane]
	if g.idle {
		q.idle.remove(g)
	}
	if g.waiting == 0 {
		q.weight += g.weight
		q.backlog++
	}
	lifted := false
	if s.head == none && (g.waiting == 0 || n.lane == laneShort) {
		// Short work is lifted also while long work waits: the group may not
		// save up the time during which its long work was held back.
		if g.virtual < q.clock {
			g.virtual, lifted = q.clock, true
		}
	}
	n.prev, n.next = s.tail, none
	if s.tail != none {
		q.nodes[s.tail].next = i
	} else {
		s.head, s.first = i, n.seq
	}
	s.tail = i
	g.waiting++
	q.waiting++
	s.cost += n.item.Cost
	q.cost[n.lane] += n.item.Cost
	if lifted || s.head == i {
		q.refresh(g)
	}
}

// unlink removes a node from the waiting ones; the caller refreshes its group.
func (q *Queue[T]) unlink(i int32) {
	n := &q.nodes[i]
	g := n.group
	s := &g.lists[n.lane]
	if n.prev != none {
		q.nodes[n.prev].next = n.next
	} else {
		s.head = n.next
		if s.head != none {
			s.first = q.nodes[s.head].seq
		}
	}
	if n.next != none {
		q.nodes[n.next].prev = n.prev
	} else {
		s.tail = n.prev
	}
	g.waiting--
	q.waiting--
	s.cost -= n.item.Cost
	q.cost[n.lane] -= n.item.Cost
	if g.waiting == 0 {
		q.backlog--
		q.weight -= g.weight
		if q.backlog == 0 {
			q.weight = 0 // ends the accumulation of rounding errors
		}
	}
	if n.spot != none {
		q.removeDeadline(n.spot)
	}
	if q.reserved == i {
		q.reserved = none
	}
}

// refresh puts a group at its place in each heap, or out of it.
func (q *Queue[T]) refresh(g *group) {
	held := q.discipline == Static && g.running >= q.share()
	for l := range lanes {
		if held || g.lists[l].head == none {
			q.heaps[l].remove(g)
		} else {
			q.heaps[l].fix(g)
		}
	}
}

// share returns the slots of each group under Static.
func (q *Queue[T]) share() int {
	n := len(q.limits)
	if n == 0 {
		n = len(q.groups)
	}
	return max(1, q.slots/max(n, 1))
}

// recount restores the heaps after the number of groups changed.
func (q *Queue[T]) recount() {
	if len(q.limits) == 0 {
		q.refreshAll()
	}
}

// refreshAll restores the heaps after the share of each group changed.
func (q *Queue[T]) refreshAll() {
	if q.discipline != Static {
		return
	}
	for _, g := range q.groups {
		q.refresh(g)
	}
}
