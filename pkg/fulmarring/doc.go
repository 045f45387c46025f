// Package fulmarring is a bounded first-in first-out queue that joins goroutines.
//
// Any number of goroutines may put and get. A put never waits: a full ring is
// reported to the producer, which decides what to drop. There are no errors.
package fulmarring
