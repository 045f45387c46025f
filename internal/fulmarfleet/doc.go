// Package fulmarfleet runs a deployment as processes on loopback addresses and
// injects faults into it. It serves tests and demonstrations and is not part of
// the router.
//
// A Fleet consists of a simulated platform, targets and daemons, each of which is
// a separate process. With Settings.UseForwarders, each daemon opens its
// connections from its own address, 127.0.1.N, and reaches peers, targets and the
// platform through forwarders in the calling process. A forwarder identifies the
// daemon by its source address, so that the connections between any two servers
// can be cut and restored. Callers and operators connect to daemons directly.
//
// A fleet sends signals only to processes that it started, by their process ids.
package fulmarfleet
