// Package fulmartarget is the client of the targets. It reads and renews their
// grants, and sends them orders, which are requests with a fencing term, over
// pooled connections.
//
// Do has four results. An error that matches ErrNotSent states that the order was
// not sent. Any other error states that the connection broke after sending, or
// that the answer on it was not the one to this order, so that the order may have
// run. An answer for which NotRun reports true states
// that the target did not run the order. Every other answer is the result.
//
// Each order and each grant call has an id of its own, which the target repeats in
// its answer. An answer with another id or none states nothing: a target may send
// an answer twice, and the copy of a refusal may arrive when the next order is
// already running.
//
// Addresses are host:port. Deadlines are sent as remaining milliseconds and as
// an absolute time.
package fulmartarget
