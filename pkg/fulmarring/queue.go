package fulmarring

import (
	"context"
	"sync"
)

// Queue is a bounded first-in first-out queue; it is safe for concurrent use.
type Queue[T any] struct {
	mu     sync.RWMutex // guards closed and the closing of values, so that no value is sent on a closed channel
	closed bool
	values chan T
}

// New returns a queue of the given capacity; it panics if capacity is not positive.
func New[T any](capacity int) *Queue[T] {
	if capacity <= 0 {
		panic("fulmarring: capacity is not positive")
	}
	return &Queue[T]{values: make(chan T, capacity)}
}

// TryPut adds v without blocking; it reports false if the queue is full or closed.
func (q *Queue[T]) TryPut(v T) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return false
	}
	select {
	case q.values <- v:
		return true
	default:
		return false
	}
}

// Get waits for the next value; ok is false if ctx ends or the queue is closed and empty.
func (q *Queue[T]) Get(ctx context.Context) (v T, ok bool) {
	select {
	case v, ok = <-q.values: // a queued value is returned even if ctx has ended
		return v, ok
	default:
	}
	select {
	case v, ok = <-q.values:
		return v, ok
	case <-ctx.Done():
		return v, false
	}
}

// Close rejects further puts; Get still returns the queued values. Close may be called more than once.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.closed = true
		close(q.values)
	}
}
