// Package fulmarentry takes callers' HTTP requests, finds the slot, the target
// and the dispatcher of each, and passes the request on: to the dispatcher of
// this instance or, over one hop, to that of a peer.
//
// It is the only place that retries. A request is retried if it did not start,
// if it is idempotent, or, for an at-most-once service, by asking a dispatcher
// again with the same id. Nothing is retried after a byte of an answer has been
// passed on. Not-run answers are passed on only before the request's deadline
// and only if no earlier attempt may have run; otherwise the outcome is unknown.
//
// Peers prove knowledge of the shared key by an HMAC-SHA256 over the method,
// the path, the sender, the date and the headers that route the request. A
// request whose date differs from the own clock by more than 30 s is refused.
package fulmarentry
