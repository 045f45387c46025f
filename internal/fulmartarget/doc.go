// Package fulmartarget is the client of the targets. It reads and renews their
// grants, and sends them orders, which are requests with a fencing term, over
// pooled connections.
//
// Do has four results. An error that matches ErrNotSent states that the order was
// not sent. Any other error states that the connection broke after sending, so
// that the order may have run. An answer for which NotRun reports true states
// that the target did not run the order. Every other answer is the result.
//
// Addresses are host:port. Deadlines are sent as remaining milliseconds and as
// an absolute time.
package fulmartarget
