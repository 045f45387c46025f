// Package fulmarmember implements a failure detector based on the heartbeats of peers.
//
// A peer is down if no heartbeat of it was observed within the timeout, and
// leaving if its last heartbeat announced that. A heartbeat of a newer incarnation
// replaces the record of the peer; one of an older incarnation is ignored. A peer
// that was added without a heartbeat is down until its first heartbeat.
//
// Times are readings of one monotonic clock, passed in by the caller. No function
// returns an error.
package fulmarmember
