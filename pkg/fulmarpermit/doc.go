// Package fulmarpermit dispenses permits to send requests to targets that have
// stated a limit.
//
// One daemon, the leader, dispenses the permits of all daemons, one for each
// request, so that the sum over the fleet keeps the limit however unequal the
// daemons' demand is. Shares that are dealt out in advance cannot do that: a
// limit of 8 requests a second is less than one request for each of 300
// daemons, and unused parts of many shares add up to bursts.
//
// Requests of lower priority leave some permits to more urgent ones, so that a
// surge of the former does not take all of a small limit.
//
// The package has no I/O and no clock.
package fulmarpermit
