// Package fulmarfleet runs a deployment as processes on loopback and injects
// faults into it; it is no part of the system.
//
// A Fleet consists of a platform, targets and daemons, each a process of its
// own. With Settings.Forward, each daemon opens its connections from an address
// of its own, 127.0.1.N, and reaches peers, targets and the platform through
// forwarders in the calling process. A forwarder knows the daemon by its source
// address, so that the connections between any two servers can be cut and
// restored. Callers and operators reach daemons directly.
//
// Only processes that the fleet started are signalled, by their ids.
package fulmarfleet
