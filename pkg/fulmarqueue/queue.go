package fulmarqueue

import (
	"time"

	"github.com/pkg/errors"
)

// Class distinguishes short work from long work.
type Class uint8

// Classes of work.
const (
	Short Class = iota
	Long
)

// Limits holds the weight of one group and the maximum number of its waiting items.
type Limits struct {
	Weight    float64
	MaxQueued int
}

// Default limits of a group.
const (
	DefaultWeight    = 1.0
	DefaultMaxQueued = 1000
)

// idleGroupTTL is how long an idle group keeps its virtual time. It exceeds the
// usual interval between a caller's requests, so that an active group isn't
// added and dropped for each request.
const idleGroupTTL = time.Minute

// maxDropsPerCall bounds the number of idle groups dropped by one call, and so
// the cost of the call.
const maxDropsPerCall = 2

// Errors returned by Push.
var (
	ErrFull     = errors.New("fulmarqueue: queue of the group is full")
	ErrDeadline = errors.New("fulmarqueue: item can't start before its deadline")
)

// Item is a waiting request.
type Item[T any] struct {
	Group     string
	Class     Class
	Cost      time.Duration // expected server time
	Deadline  time.Time
	Exclusive bool // runs only while no other item runs
	Value     T
}

// Ticket identifies a waiting or running item.
type Ticket uint64

// Discipline selects the service order.
type Discipline uint8

// Disciplines. All but Fair are baselines for comparison.
const (
	Fair       Discipline = iota // shares server time in proportion to the weights of the groups
	FIFO                         // starts items in order of arrival
	Static                       // gives each group an equal number of slots
	RoundRobin                   // starts one item of each group in turn
)

// lane selects one of the lists of a group: short, long or exclusive work.
type lane uint8

const (
	laneShort lane = iota
	laneLong
	laneExclusive
	laneCount // number of lanes
)

// nodeState is the state of a node.
type nodeState uint8

const (
	stateFree nodeState = iota
	stateWaiting
	stateRunning
)

// noIndex marks the absence of a node or of a heap position.
const noIndex int32 = -1

// node is the record of an item; nodes are reused and identified by index.
type node[T any] struct {
	item       Item[T]
	group      *group
	seq        uint64  // order of arrival
	deadline   int64   // since the queue's base, for the deadline heap
	start      int64   // since the queue's base
	charged    float64 // virtual time that the group was charged at the start
	slotCount  float64 // slots that the item takes
	gen        uint32  // generation: changes when the node is reused
	prev, next int32
	index      int32 // index in the deadline heap while waiting, in the list of running items while running
	lane       lane
	state      nodeState
}

// Queue orders the waiting requests of one target; it is not safe for concurrent use.
type Queue[T any] struct {
	discipline Discipline
	slots      int
	base       time.Time // origin of times; keeps the monotonic reading
	latest     int64     // latest time seen, since base

	nodes     []node[T]
	freeNodes []int32
	seq       uint64

	groups     map[string]*group
	limits     map[string]Limits
	freeGroups []*group
	idleGroups idleList

	heaps     [laneCount]groupHeap
	deadlines deadlineHeap
	running   []int32
	remaining []int64 // scratch space of completionTime

	virtualClock     float64 // virtual time of the last start
	maxVirtualTime   float64 // highest virtual time of any group
	waiting          int
	waitingCost      [laneCount]time.Duration // expected cost of the waiting items
	waitingWeight    float64                  // sum over the groups with waiting items
	waitingGroups    int                      // number of groups with waiting items
	runningLong      int                      // number of running long items
	exclusiveRunning bool                     // an exclusive item is running
	reservedNode     int32                    // exclusive item that waits for the slots to empty, or noIndex
}

// New returns a queue for a target with the given number of concurrent slots.
// It panics if the discipline is unknown or slots is negative.
func New[T any](d Discipline, slots int) *Queue[T] {
	if d > RoundRobin {
		panic("fulmarqueue: unknown discipline")
	}
	q := &Queue[T]{
		discipline:   d,
		groups:       make(map[string]*group),
		limits:       make(map[string]Limits),
		reservedNode: noIndex,
	}
	for l := range q.heaps {
		q.heaps[l].lane = lane(l)
	}
	q.SetSlots(slots)
	return q
}

// SetSlots changes the number of concurrent slots; items that already run are
// not affected. It panics if slots is negative.
func (q *Queue[T]) SetSlots(slots int) {
	if slots < 0 {
		panic("fulmarqueue: negative number of slots")
	}
	q.slots = slots
	q.updateStaticHeaps()
}

// SetLimits sets the limits of a group. A weight or queue of zero or less
// selects the default; the zero Limits removes the limits that were set.
func (q *Queue[T]) SetLimits(name string, l Limits) {
	before := len(q.limits)
	if l == (Limits{}) {
		delete(q.limits, name)
	} else {
		q.limits[name] = l
	}
	if g := q.groups[name]; g != nil {
		old := g.weight
		g.setLimits(l)
		if g.waiting > 0 {
			q.waitingWeight += g.weight - old
		}
	}
	if len(q.limits) != before {
		q.updateStaticHeaps()
	}
}

// Push adds an item; it returns ErrFull, or ErrDeadline if the item can't start in time.
func (q *Queue[T]) Push(now time.Time, it Item[T]) (Ticket, error) {
	at := q.dropIdleGroups(now)
	it.Cost = max(it.Cost, 0)
	g := q.group(it.Group)
	if g.waiting >= g.maxQueued {
		return 0, ErrFull
	}
	l := laneOf(it.Class, it.Exclusive)
	deadline := int64(0)
	if !it.Deadline.IsZero() {
		deadline = q.sinceBase(it.Deadline)
		if deadline <= at || at+q.drainTime(at, g, l, it.Cost) > deadline {
			return 0, ErrDeadline
		}
	}
	i := q.allocNode()
	n := &q.nodes[i]
	q.seq++
	n.item, n.group, n.lane, n.seq, n.state = it, g, l, q.seq, stateWaiting
	n.deadline, n.index = deadline, noIndex
	q.enqueue(i)
	if !it.Deadline.IsZero() {
		q.pushDeadline(i)
	}
	return q.ticket(i), nil
}

// Pop removes the next item to start and occupies a slot for it. It returns
// false if no item can start.
func (q *Queue[T]) Pop(now time.Time) (Ticket, Item[T], bool) {
	i := q.selectNext()
	if i == noIndex {
		return 0, Item[T]{}, false
	}
	q.unlink(i)
	q.start(q.sinceBase(now), i)
	return q.ticket(i), q.nodes[i].item, true
}

// selectNext returns the waiting item that may start next, or noIndex. An exclusive
// item whose turn it is reserves all slots and starts when no item runs. Until
// then, short items may start while long items are running.
func (q *Queue[T]) selectNext() int32 {
	if len(q.running) >= q.slots || q.exclusiveRunning {
		return noIndex
	}
	if q.reservedNode == noIndex {
		g, l := q.firstEligible(true)
		if g == nil {
			return noIndex
		}
		if l != laneExclusive || len(q.running) == 0 {
			return g.lists[l].head
		}
		q.reservedNode = g.lists[l].head
	}
	if len(q.running) == 0 {
		return q.reservedNode
	}
	if q.runningLong == 0 {
		return noIndex
	}
	g, l := q.firstEligible(false)
	if g == nil {
		return noIndex
	}
	return g.lists[l].head
}

// firstEligible returns the group and lane that are first in service order, or
// a nil group. With all, long and exclusive work is considered too.
func (q *Queue[T]) firstEligible(all bool) (*group, lane) {
	var firstGroup *group
	var firstLane lane
	for l := range laneCount {
		if l != laneShort && !all || l == laneLong && q.runningLong >= q.longLimit() {
			continue
		}
		if g := q.heaps[l].top(); g != nil && (firstGroup == nil || precedes(g, l, firstGroup, firstLane)) {
			firstGroup, firstLane = g, l
		}
	}
	return firstGroup, firstLane
}

// longLimit returns the number of slots that long work may take. Under Fair, one
// of several slots stays free for other work.
func (q *Queue[T]) longLimit() int {
	if q.discipline == Fair && q.slots > 1 {
		return q.slots - 1
	}
	return q.slots
}

// start moves an unlinked item to the running items and charges its group.
func (q *Queue[T]) start(at int64, i int32) {
	n := &q.nodes[i]
	g := n.group
	n.state, n.start, n.slotCount = stateRunning, at, 1
	n.index = int32(len(q.running))
	q.running = append(q.running, i)
	g.running++
	if n.lane == laneExclusive {
		q.exclusiveRunning = true
		n.slotCount = float64(max(q.slots, 1))
	}
	if n.item.Class == Long {
		q.runningLong++
	}
	q.virtualClock = max(q.virtualClock, g.virtualTime)
	switch q.discipline {
	case Fair:
		n.charged = n.item.Cost.Seconds() * n.slotCount / g.weight
	case RoundRobin:
		n.charged = 1
	default:
		n.charged = 0
	}
	q.chargeGroup(g, n.charged)
}

// chargeGroup adds to the virtual time of a group and updates its heap positions.
func (q *Queue[T]) chargeGroup(g *group, by float64) {
	g.virtualTime += by
	q.maxVirtualTime = max(q.maxVirtualTime, g.virtualTime)
	q.updateHeaps(g)
}

// Remove removes a waiting item and reports whether it was still waiting.
func (q *Queue[T]) Remove(t Ticket) bool {
	i, ok := q.find(t, stateWaiting)
	if !ok {
		return false
	}
	q.discard(i)
	return true
}

// discard removes a waiting item that will not start.
func (q *Queue[T]) discard(i int32) {
	g := q.nodes[i].group
	q.unlink(i)
	q.freeNode(i)
	q.updateHeaps(g)
	q.markIdle(g)
}

// Done frees the slot of a started item and charges its group with the time
// used. It ignores a ticket whose item is not running.
func (q *Queue[T]) Done(t Ticket, used time.Duration) {
	i, ok := q.find(t, stateRunning)
	if !ok {
		return
	}
	n := &q.nodes[i]
	g := n.group
	last := len(q.running) - 1
	moved := q.running[last]
	q.running[n.index] = moved
	q.nodes[moved].index = n.index
	q.running = q.running[:last]
	g.running--
	if n.lane == laneExclusive {
		q.exclusiveRunning = false
	}
	if n.item.Class == Long {
		q.runningLong--
	}
	correction := 0.0
	if q.discipline == Fair {
		correction = max(used, 0).Seconds()*n.slotCount/g.weight - n.charged
	}
	q.freeNode(i)
	q.chargeGroup(g, correction)
	q.markIdle(g)
	if q.waiting == 0 && len(q.running) == 0 {
		// The busy period ended: all groups begin the next one at the same
		// virtual time.
		q.virtualClock = q.maxVirtualTime
	}
}

// Expire removes the items whose deadline has passed and appends them to dst.
func (q *Queue[T]) Expire(dst []Item[T], now time.Time) []Item[T] {
	at := q.dropIdleGroups(now)
	for len(q.deadlines) > 0 && q.deadlines[0].deadline <= at {
		i := q.deadlines[0].node
		dst = append(dst, q.nodes[i].item)
		q.discard(i)
	}
	return dst
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.waiting }

// Running returns the number of started items.
func (q *Queue[T]) Running() int { return len(q.running) }

// sinceBase converts a time to nanoseconds since the first time seen.
func (q *Queue[T]) sinceBase(t time.Time) int64 {
	if q.base.IsZero() {
		q.base = t
	}
	return int64(t.Sub(q.base))
}

func laneOf(c Class, exclusive bool) lane {
	switch {
	case exclusive:
		return laneExclusive
	case c == Long:
		return laneLong
	}
	return laneShort
}

// ticket combines the index of a node with its generation, which changes when
// the node is reused.
func (q *Queue[T]) ticket(i int32) Ticket {
	return Ticket(uint64(q.nodes[i].gen)<<32 | uint64(uint32(i)))
}

// find returns the index of the ticket's node if it is in state s.
func (q *Queue[T]) find(t Ticket, s nodeState) (int32, bool) {
	i := int64(uint32(t))
	if i >= int64(len(q.nodes)) || q.nodes[i].gen != uint32(t>>32) || q.nodes[i].state != s {
		return noIndex, false
	}
	return int32(i), true
}

func (q *Queue[T]) allocNode() int32 {
	if last := len(q.freeNodes) - 1; last >= 0 {
		i := q.freeNodes[last]
		q.freeNodes = q.freeNodes[:last]
		return i
	}
	q.nodes = append(q.nodes, node[T]{gen: 1})
	return int32(len(q.nodes) - 1)
}

func (q *Queue[T]) freeNode(i int32) {
	n := &q.nodes[i]
	n.item = Item[T]{}
	n.group = nil
	n.state = stateFree
	n.gen++
	if n.gen == 0 {
		n.gen = 1
	}
	q.freeNodes = append(q.freeNodes, i)
}

// Groups returns the number of groups held, including recently idle ones.
func (q *Queue[T]) Groups() int { return len(q.groups) }
