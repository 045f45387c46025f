// Package fulmardemo runs two deployments on one machine, with stand-ins for
// all that is outside the system, loses a daemon and a target of each under
// load and checks the invariants; it is no part of the system.
//
// Every server is a process of its own. Only processes that the demonstration
// started are ended, by their ids.
package fulmardemo
