// Package fulmarlead does the duties of the leader.
//
// The leader is the daemon that holds a lease of the key-value service. It
// reads the store for the whole fleet, decides which target owns which keys,
// writes the tables under the condition that it still leads, sends grants and
// releases to targets, and answers the other daemons' reports. It sends orders
// only while its lease surely holds, by a clock that does not stop while the
// machine is suspended.
//
// Election acquires the lease; Term does the duties until the lease is lost.
package fulmarlead
