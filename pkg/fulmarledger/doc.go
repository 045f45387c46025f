// Package fulmarledger tracks until when targets may hold keys.
//
// Every grant that is sent is entered before the call and settled after it. A
// grant that was not answered may be applied late, but no later than its time
// counted from the latest moment at which it can have arrived. A target that
// released keys no longer holds them by answered grants, but may still get them
// by unanswered ones. Keys may be granted to a second target only when Free
// reports that the first holds none of them.
//
// Targets are told apart by their ids alone: a target that has started again
// under its id may have got a grant that was meant for its former life.
//
// The package has no I/O; the caller passes times of a clock that does not stop
// while the machine is suspended.
package fulmarledger
