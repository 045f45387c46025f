// Package fulmarrate combines what bounds the requests that the fleet sends to a
// target.
//
// A target may state a limit, be cold, or own a single key that is asked for more
// than it can do. Each of these is a Source; the least rate of all of them is in
// force. There is one mechanism that keeps it, whatever its source: the permits of
// the leader (package fulmarpermit) and turns without one (package fulmarrotation).
//
// The package has no I/O and no clock.
package fulmarrate
