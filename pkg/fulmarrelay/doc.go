// Package fulmarrelay chooses the daemons that pass the leader's state on to the
// others.
//
// In a large fleet, a leader that every daemon asks sends and receives as much
// as there are daemons. Here it exchanges messages with a few relays of each
// data centre, and each relay with a bounded number of daemons, so that no
// daemon's load grows with the fleet by more than its square root. Every daemon
// can be a relay; the strongest ones are chosen.
package fulmarrelay
