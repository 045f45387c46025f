// Package fulmargrant holds the target's side of a grant: the right of one
// dispatcher, the holder, to send orders for a set of slots for a short time.
//
// All times are readings of the target's monotonic clock, passed in by the
// caller. A grant lapses at its stamp plus its ttl, whenever it arrives, so a
// renewal that was delayed on the way extends nothing. Refusals are errors of
// type *RefusedError.
package fulmargrant
