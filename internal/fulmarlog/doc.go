// Package fulmarlog writes log lines without blocking the goroutines that log.
//
// Lines pass through a bounded ring buffer to one goroutine, which writes the
// buffered lines in batches. Lines that arrive faster than they can be written,
// or faster than the maximum rate, are dropped and counted.
package fulmarlog
