// Package fulmarassign decides which target owns which keys.
//
// Plan takes the present table, the targets that can own keys and the request
// rates of single keys, and returns the table that should be in force. It gives
// away the keys of targets that are gone, gives new targets a share, and splits
// busy ranges: a few neighbouring keys that carry much of the traffic are
// spread over several targets by moving the narrowest range that carries the
// excess, so that few keys change hands. Small differences of load move
// nothing.
//
// The package has no I/O and no clock.
package fulmarassign
