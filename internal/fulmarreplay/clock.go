package fulmarreplay

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times.
type clock struct {
	now    time.Duration
	events events
	serial int
}

type event struct {
	at     time.Duration
	serial int // keeps the order of events at the same time
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// after runs f when d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.serial++
	heap.Push(&c.events, event{c.now + max(d, 0), c.serial, f})
}

// run runs events up to end.
func (c *clock) run(end time.Duration) {
	for c.events.Len() > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
