// Package fulmardemo is a demonstration of the system under failures, for lab use.
// It runs two deployments on one machine with a simulated platform and simulated
// targets, kills a daemon and a target of each under load, and checks the
// invariants.
//
// Every server runs in its own process. The demonstration signals only processes
// that it started, by their ids.
package fulmardemo
