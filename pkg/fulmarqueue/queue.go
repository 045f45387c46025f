package fulmarqueue

import (
	"time"

	"github.com/pkg/errors"
)

// Class tells short work from long work.
type Class uint8

// Classes of work.
const (
	Short Class = iota
	Long
)

// Limits are the share and the queue bound of one group.
type Limits struct {
	Weight    float64
	MaxQueued int
}

// Limits of a group for which none were set.
const (
	DefaultWeight    = 1.0
	DefaultMaxQueued = 1000
)

// idleHold is how long an idle group keeps its virtual time. It exceeds the
// usual pauses of a caller, so that an active group isn't added and dropped
// for each request.
const idleHold = time.Minute

// sweepBatch bounds the groups that one call drops, to bound its cost.
const sweepBatch = 2

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
	Exclusive bool // runs only while nothing else does
	Value     T
}

// Ticket names an item that waits or runs.
type Ticket uint64

// Discipline selects the order of service.
type Discipline uint8

// Disciplines; all but Fair serve as baselines.
const (
	Fair Discipline = iota
	FIFO
	Static
	RoundRobin
)

// lane selects one of the lists of a group.
type lane uint8

const (
	laneShort lane = iota
	laneLong
	laneAlone
	lanes
)

type state uint8

const (
	free state = iota
	waiting
	running
)

// none marks the absence of a node.
const none int32 = -1

// node is the record of an item; nodes are reused and named by index.
type node[T any] struct {
	item       Item[T]
	group      *group
	seq        uint64
	deadline   int64 // since the queue's base, for the deadline heap
	start      int64 // since the queue's base
	charged    float64
	factor     float64 // slots that the item takes
	gen        uint32
	prev, next int32
	spot       int32 // place in the deadline heap or the list of running items
	lane       lane
	state      state
}

// Queue orders the waiting requests of one target; it is not safe for concurrent use.
type Queue[T any] struct {
	discipline Discipline
	slots      int
	base       time.Time // origin of times; keeps the monotonic reading
	last       int64     // latest time seen, since base

	nodes  []node[T]
	unused []int32
	seq    uint64

	groups map[string]*group
	limits map[string]Limits
	spare  []*group
	idle   idleList

	heaps     [lanes]groupHeap
	deadlines deadlineHeap
	running   []int32
	remaining []int64 // scratch of the drain estimate

	clock    float64 // virtual time of the last start
	highest  float64 // highest virtual time of any group
	waiting  int
	cost     [lanes]time.Duration // expected cost of the waiting items
	weight   float64              // sum over the groups with waiting items
	backlog  int                  // groups with waiting items
	longs    int                  // running long items
	alone    bool                 // an item that runs alone is running
	reserved int32                // item that waits for the slots to empty
}

// New returns a queue for a target with the given number of concurrent slots.
// It panics if the discipline is unknown or slots is negative.
func New[T any](d Discipline, slots int) *Queue[T] {
	if d > RoundRobin {
		panic("fulmarqueue: unknown discipline")
	}
	q := &Queue[T]{
		discipline: d,
		groups:     make(map[string]*group),
		limits:     make(map[string]Limits),
		reserved:   none,
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
	q.refreshAll()
}

// SetLimits sets the limits of a group. A weight or queue of zero or less
// stands for the default; the zero Limits forgets what was set.
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
			q.weight += g.weight - old
		}
	}
	if len(q.limits) != before {
		q.refreshAll()
	}
}

// Push adds an item; it returns ErrFull, or ErrDeadline if the item can't start in time.
func (q *Queue[T]) Push(now time.Time, it Item[T]) (Ticket, error) {
	at := q.sweep(now)
	it.Cost = max(it.Cost, 0)
	g := q.group(it.Group)
	if g.waiting >= g.queue {
		return 0, ErrFull
	}
	l := laneOf(it.Class, it.Exclusive)
	deadline := int64(0)
	if !it.Deadline.IsZero() {
		deadline = q.since(it.Deadline)
		if deadline <= at || at+q.drain(at, g, l, it.Cost) > deadline {
			return 0, ErrDeadline
		}
	}
	i := q.alloc()
	n := &q.nodes[i]
	q.seq++
	n.item, n.group, n.lane, n.seq, n.state = it, g, l, q.seq, waiting
	n.deadline, n.spot = deadline, none
	q.enqueue(i)
	if !it.Deadline.IsZero() {
		q.pushDeadline(i)
	}
	return q.ticket(i), nil
}

// Pop returns the next item to start and takes a slot for it.
func (q *Queue[T]) Pop(now time.Time) (Ticket, Item[T], bool) {
	i := q.choose()
	if i == none {
		return 0, Item[T]{}, false
	}
	q.unlink(i)
	q.start(q.since(now), i)
	return q.ticket(i), q.nodes[i].item, true
}

// choose returns the waiting item that may start next, or none.
func (q *Queue[T]) choose() int32 {
	if len(q.running) >= q.slots || q.alone {
		return none
	}
	if q.reserved == none {
		g, l := q.best(true)
		if g == nil {
			return none
		}
		if l != laneAlone || len(q.running) == 0 {
			return g.lists[l].head
		}
		q.reserved = g.lists[l].head
	}
	if len(q.running) == 0 {
		return q.reserved
	}
	if q.longs == 0 {
		return none
	}
	g, l := q.best(false)
	if g == nil {
		return none
	}
	return g.lists[l].head
}

// best returns the group and lane that are first in the order of service;
// all also considers long work and work that runs alone.
func (q *Queue[T]) best(all bool) (*group, lane) {
	var first *group
	var in lane
	for l := range lanes {
		if l != laneShort && !all || l == laneLong && q.longs >= q.longLimit() {
			continue
		}
		if g := q.heaps[l].top(); g != nil && (first == nil || before(g, l, first, in)) {
			first, in = g, l
		}
	}
	return first, in
}

// longLimit returns the number of slots that long work may take.
func (q *Queue[T]) longLimit() int {
	if q.discipline == Fair && q.slots > 1 {
		return q.slots - 1
	}
	return q.slots
}

// start moves an unlinked item to the running ones and charges its group.
func (q *Queue[T]) start(at int64, i int32) {
	n := &q.nodes[i]
	g := n.group
	n.state, n.start, n.factor = running, at, 1
	n.spot = int32(len(q.running))
	q.running = append(q.running, i)
	g.running++
	if n.lane == laneAlone {
		q.alone = true
		n.factor = float64(max(q.slots, 1))
	}
	if n.item.Class == Long {
		q.longs++
	}
	q.clock = max(q.clock, g.virtual)
	switch q.discipline {
	case Fair:
		n.charged = n.item.Cost.Seconds() * n.factor / g.weight
	case RoundRobin:
		n.charged = 1
	default:
		n.charged = 0
	}
	q.advance(g, n.charged)
}

// advance changes the virtual time of a group and restores the heaps.
func (q *Queue[T]) advance(g *group, by float64) {
	g.virtual += by
	q.highest = max(q.highest, g.virtual)
	q.refresh(g)
}

// Remove takes a waiting item out and reports whether it still waited.
func (q *Queue[T]) Remove(t Ticket) bool {
	i, ok := q.find(t, waiting)
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
	q.release(i)
	q.refresh(g)
	q.rest(g)
}

// Done frees the slot of a started item and charges its group with the time
// used. It ignores a ticket that does not run.
func (q *Queue[T]) Done(t Ticket, used time.Duration) {
	i, ok := q.find(t, running)
	if !ok {
		return
	}
	n := &q.nodes[i]
	g := n.group
	last := len(q.running) - 1
	moved := q.running[last]
	q.running[n.spot] = moved
	q.nodes[moved].spot = n.spot
	q.running = q.running[:last]
	g.running--
	if n.lane == laneAlone {
		q.alone = false
	}
	if n.item.Class == Long {
		q.longs--
	}
	correction := 0.0
	if q.discipline == Fair {
		correction = max(used, 0).Seconds()*n.factor/g.weight - n.charged
	}
	q.release(i)
	q.advance(g, correction)
	q.rest(g)
	if q.waiting == 0 && len(q.running) == 0 {
		// The busy period ended: all groups start the next one level.
		q.clock = q.highest
	}
}

// Expire removes the items whose deadline has passed and appends them to dst.
func (q *Queue[T]) Expire(dst []Item[T], now time.Time) []Item[T] {
	at := q.sweep(now)
	for len(q.deadlines) > 0 && q.deadlines[0].at <= at {
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

// since converts a time to nanoseconds since the first time seen.
func (q *Queue[T]) since(t time.Time) int64 {
	if q.base.IsZero() {
		q.base = t
	}
	return int64(t.Sub(q.base))
}

func laneOf(c Class, alone bool) lane {
	switch {
	case alone:
		return laneAlone
	case c == Long:
		return laneLong
	}
	return laneShort
}

// ticket joins the index of a node and its generation, which tells a reused
// node from its former item.
func (q *Queue[T]) ticket(i int32) Ticket {
	return Ticket(uint64(q.nodes[i].gen)<<32 | uint64(uint32(i)))
}

func (q *Queue[T]) find(t Ticket, s state) (int32, bool) {
	i := int64(uint32(t))
	if i >= int64(len(q.nodes)) || q.nodes[i].gen != uint32(t>>32) || q.nodes[i].state != s {
		return none, false
	}
	return int32(i), true
}

func (q *Queue[T]) alloc() int32 {
	if last := len(q.unused) - 1; last >= 0 {
		i := q.unused[last]
		q.unused = q.unused[:last]
		return i
	}
	q.nodes = append(q.nodes, node[T]{gen: 1})
	return int32(len(q.nodes) - 1)
}

func (q *Queue[T]) release(i int32) {
	n := &q.nodes[i]
	n.item = Item[T]{}
	n.group = nil
	n.state = free
	n.gen++
	if n.gen == 0 {
		n.gen = 1
	}
	q.unused = append(q.unused, i)
}

// Groups returns the number of groups held, which includes recently idle ones.
func (q *Queue[T]) Groups() int { return len(q.groups) }
