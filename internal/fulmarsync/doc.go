// Package fulmarsync carries what daemons and their leader tell each other.
//
// A daemon sends a Report of the load that it sees and of the versions that it
// has; the leader answers with an Update of what is newer, at once if there is
// anything, else after a short wait. So a change reaches all daemons at once,
// and a leader that is silent is noticed. The calls use drpc with CBOR.
package fulmarsync
