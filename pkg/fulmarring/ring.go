package fulmarring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue between goroutines.
type Queue[T any] struct {
	mu     sync.RWMutex // guards closed, so that no value is sent on a closed channel
	closed bool
	values chan T
}

// New returns a ring of the given capacity; it panics if capacity is not positive.
func New[T any](capacity int) *Queue[T] {
	if capacity <= 0 {
		panic("fulmarring: capacity is not positive")
	}
	return &Queue[T]{values: make(chan T, capacity)}
}

// TryPut adds v and reports false if the ring is full or closed.
func (r *Queue[T]) TryPut(v T) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		return false
	}
	select {
	case r.values <- v:
		return true
	default:
		return false
	}
}

// Get waits for the next value; ok is false when ctx ends or the ring is closed and empty.
func (r *Queue[T]) Get(ctx context.Context) (v T, ok bool) {
	select {
	case v, ok = <-r.values: // a value that is ready is returned even if ctx has ended
		return v, ok
	default:
	}
	select {
	case v, ok = <-r.values:
		return v, ok
	case <-ctx.Done():
		return v, false
	}
}

// Close lets Get drain what is left.
func (r *Queue[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.values)
	}
}
