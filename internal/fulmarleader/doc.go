// Package fulmarleader elects the leader and performs its duties.
//
// The leader is the daemon that holds the leader lease in the key-value store.
// It reads the store on behalf of the whole fleet, assigns keys to targets,
// writes the ownership tables on the condition that it still leads, sends
// grants and releases to targets, and answers the reports of other daemons. It
// sends orders only while its lease is certain to be valid, by a clock that
// keeps running while the machine is suspended.
//
// Begin acquires the lease and returns a Term, whose Run performs the duties
// until the lease is lost.
package fulmarleader
