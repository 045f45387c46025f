// Package fulmarclock reads a monotonic clock that keeps running while the
// instance is suspended, and sleeps with a context.
//
// Go's monotonic clock stops during a suspension, after which leases and grants
// would seem younger than they are.
package fulmarclock
