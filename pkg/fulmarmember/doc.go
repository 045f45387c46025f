// Package fulmarmember is a failure detector over the heartbeats of peers.
//
// A peer is down when no heartbeat was observed within the timeout, and leaving
// when its last heartbeat said so. A heartbeat of a newer incarnation replaces all
// that was known of the peer; one of an older incarnation is ignored. A peer that
// was only learned of is down until it is heard.
//
// Times are read from one monotonic clock and passed in. There are no errors.
package fulmarmember
