// Package fulmarfront runs the daemon in front of targets that own key ranges.
//
// A Front accepts callers, relays their requests, and follows or leads the
// fleet. It has no state beyond its process: everything that must last lies in
// the key-value service.
package fulmarfront
