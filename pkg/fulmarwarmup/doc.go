// Package fulmarwarmup decides how fast the fleet sends to targets that are cold.
//
// A target that has just started, or that was without work, takes only some
// requests a second from all daemons together and ends if it gets far more. It
// answers the load of a data centre whose targets come back at the same moment:
// idle as they are, they would attract the requests of every daemon at once.
//
// A Rule derives two rates from what a target takes: that of the leader's permits
// and that of the turns of daemons without a leader. Both together, with the
// permits of two successive leaders, keep the bound in any second. A Board holds
// what targets have said of their coldness in answers.
//
// The package has no I/O and no clock.
package fulmarwarmup
