// Package fulmarmeshdaemon connects the components of a daemon and its listeners.
//
// A Daemon has four listeners: for callers' requests, for requests that peers
// forward, for drpc calls of peers, and for operators (admin API, /livez,
// /readyz, /metrics). When its context is canceled it shuts down in this order:
//
//  1. It reports itself as not ready and hands over its targets. It still accepts
//     callers' requests, because the load balancer notices the change late.
//  2. It accepts no more callers' requests and completes those in flight.
//  3. It closes the listeners for peers.
package fulmarmeshdaemon
