// Package fulmarring is a bounded first-in first-out queue between goroutines.
//
// Any number of goroutines may put and get. A put never blocks: it reports
// false if the queue is full, and the producer decides what to drop.
package fulmarring
