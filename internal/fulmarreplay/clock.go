package fulmarreplay

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs events in the order of their due times.
type clock struct {
	now    time.Duration
	events events
	seq    int
}

// event is a function that runs when the clock reaches due.
type event struct {
	due time.Duration
	seq int // orders events that are due at the same time by their scheduling
	run func()
}

// events is a heap of events, ordered by due time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].due != e[j].due {
		return e[i].due < e[j].due
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// after schedules f to run when d has passed; a negative d counts as 0.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + max(d, 0), c.seq, f})
}

// run runs the events that are due up to end, and sets the clock to end.
func (c *clock) run(end time.Duration) {
	for c.events.Len() > 0 && c.events[0].due <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.due
		e.run()
	}
	c.now = end
}
