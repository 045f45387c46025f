// Package fulmarnewcomer decides which daemons try a target that joins a fleet.
//
// It answers light load on a large fleet. Each daemon prefers a few targets of
// its own data centre and uses others only when these are busy: with 300 daemons
// and 1,000 targets of a service, more than half of the targets that join are
// preferred by nobody, and get no request for as long as the load is light. Of
// all daemons, about Triers draw each newcomer by a hash of both, without a
// message, and send it one request.
//
// The package has no I/O and no clock.
package fulmarnewcomer
