// Package fulmarassign decides which target owns which keys.
//
// Plan takes the current table, the targets that can own keys and the request
// rates of individual keys, and returns the table that should be in force. It
// reassigns the keys of lost targets, assigns a share to new targets and splits
// busy ranges: it moves the narrowest range that carries the excess load, so
// that few keys change owner when a few adjacent keys carry much of the
// traffic. Small load differences move nothing.
//
// The package has no I/O and no clock.
package fulmarassign
