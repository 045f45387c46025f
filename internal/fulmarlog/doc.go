// Package fulmarlog writes structured logs without holding up those who log.
//
// Lines pass through a bounded ring to one goroutine, which writes all that
// wait in one call. When lines come faster than they can be written, or than
// the bound on their rate, the rest is dropped and counted.
package fulmarlog
