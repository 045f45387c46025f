// Package fulmargrant holds the target's side of a grant: the right of one
// dispatcher, the holder, to send orders for a set of slots for a short time.
//
// All times are readings of the target's monotonic clock, passed in by the
// caller. A grant lapses at its stamp plus its ttl, whenever it arrives, so a
// renewal that was delayed on the way extends nothing. Refusals are errors of
// type *RefusedError.
//
// Check decides whether an order may start, CheckCommit whether its effect may
// take place: by then another dispatcher may hold the target, but the slot must
// still be granted. State.Last tells when an order was last admitted or a slot was
// last added, so that a new dispatcher knows which requests cannot have run.
package fulmargrant
