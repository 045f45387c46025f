package fulmarring

import "context"

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct{}

// New returns a ring of the given capacity; it panics if capacity is not positive.
func New[T any](capacity int) *Ring[T] { panic("fulmarring: not implemented") }

// TryPut adds v and reports false if the ring is full or closed.
func (r *Ring[T]) TryPut(v T) bool { panic("fulmarring: not implemented") }

// Get waits for the next value; ok is false when ctx ends or the ring is closed and empty.
func (r *Ring[T]) Get(ctx context.Context) (v T, ok bool) { panic("fulmarring: not implemented") }

// Close lets Get drain what is left.
func (r *Ring[T]) Close() { panic("fulmarring: not implemented") }
