package fulmarqueue

import "time"

// Class tells short work from long work.
type Class uint8

// Classes of work.
const (
	Short Class = iota
	Long
)

// Limits are the share and the queue bound of one group.
type Limits struct {
	Weight float64
	Queue  int
}

// Item is a waiting request.
type Item[T any] struct {
	Group    string
	Class    Class
	Cost     time.Duration // expected server time
	Deadline time.Time
	Alone    bool // runs only while nothing else does
	Value    T
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

// Queue orders the waiting requests of one target; it is not safe for concurrent use.
type Queue[T any] struct{}

// New returns a queue for a target with the given number of concurrent slots.
func New[T any](d Discipline, slots int) *Queue[T] { panic("fulmarqueue: not implemented") }

// SetSlots changes the number of concurrent slots.
func (q *Queue[T]) SetSlots(slots int) { panic("fulmarqueue: not implemented") }

// SetLimits sets the limits of a group.
func (q *Queue[T]) SetLimits(group string, l Limits) { panic("fulmarqueue: not implemented") }

// Push adds an item; it returns ErrFull, or ErrDeadline if the item can't start in time.
func (q *Queue[T]) Push(now time.Time, it Item[T]) (Ticket, error) {
	panic("fulmarqueue: not implemented")
}

// Pop returns the next item to start and takes a slot for it.
func (q *Queue[T]) Pop(now time.Time) (Ticket, Item[T], bool) { panic("fulmarqueue: not implemented") }

// Remove takes a waiting item out and reports whether it still waited.
func (q *Queue[T]) Remove(t Ticket) bool { panic("fulmarqueue: not implemented") }

// Done frees the slot of a started item and charges its group with the time used.
func (q *Queue[T]) Done(t Ticket, used time.Duration) { panic("fulmarqueue: not implemented") }

// Expire removes the items whose deadline has passed and appends them to dst.
func (q *Queue[T]) Expire(dst []Item[T], now time.Time) []Item[T] {
	panic("fulmarqueue: not implemented")
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { panic("fulmarqueue: not implemented") }

// Running returns the number of started items.
func (q *Queue[T]) Running() int { panic("fulmarqueue: not implemented") }
