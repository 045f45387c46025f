// Package fulmarnode wires the parts of a daemon to its listeners.
//
// A Node listens on four addresses: callers' requests, requests from peers,
// drpc from peers, and operators (admin API, /livez, /readyz, /metrics). When
// its context ends it shuts down in order: readiness is turned off and targets
// are handed over while callers are still accepted, because the load balancer
// notices late; then no more callers are accepted and those in flight finish;
// then the listeners for peers close.
package fulmarnode
