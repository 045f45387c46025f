// Package fulmarpublisher passes a daemon's view of the fleet on to other
// daemons.
//
// A Publisher numbers the states of the view, sends each daemon only what has
// changed since the state that it has, and lets calls wait for the next change.
// The leader and relays use it alike. Every answer has the age of the view, so
// that a daemon knows how old its own is, over any number of hops.
package fulmarpublisher
