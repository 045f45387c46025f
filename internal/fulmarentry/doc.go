// Package fulmarentry receives HTTP requests from callers, finds the slot, the
// target and the dispatcher of each request, and forwards the request to the
// dispatcher of this instance or, over one hop, to that of a peer.
//
// No other package retries requests. A request is retried if it did not start, if
// it is idempotent, or, for an at-most-once service, by sending it to a dispatcher
// again with the same id. Nothing is retried after a byte of a response has been
// forwarded. An outcome of not-run is returned only before the deadline of the
// request and only if no earlier attempt may have run. Otherwise the outcome is
// unknown.
//
// Requests to peers need no id for each attempt, unlike orders to targets: peers are
// other daemons, whose net/http server writes exactly one answer to each request,
// in the order of the requests.
//
// Peers prove knowledge of the shared key by an HMAC-SHA256 over the method, the
// path, the sender, the date and the headers that route the request. A request
// whose date differs from the local clock by more than 30 s is refused.
package fulmarentry
