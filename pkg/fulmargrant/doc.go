// Package fulmargrant implements the target's side of grants. A grant is a lease
// with a fencing token, the term: it permits one dispatcher, the holder, to send
// orders for a set of slots for a short time.
//
// All times are readings of the target's monotonic clock, passed in by the
// caller. A grant expires at its stamp plus its TTL regardless of when it
// arrives, so a delayed renewal doesn't extend the grant. Refusals are errors of
// type *RefusedError.
//
// Check decides whether an order may start, and CheckCommit whether its effect
// may be applied. The latter doesn't check the term: another dispatcher may hold
// the target by then, but the slot must still be granted. State.LastActivity is
// the time at which an order was last admitted or a slot was last added, from
// which a new dispatcher derives which requests can't have run.
package fulmargrant
