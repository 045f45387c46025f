// Package fulmarledger tracks how long targets may hold keys.
//
// Every grant is recorded before it is sent and completed with the result of the
// call. An unanswered grant may be applied late, but it expires no later than
// its duration after the latest time at which it can have arrived. The same
// holds for a grant whose answer may be the copy of an earlier one, until the
// target is known to have handled all grants of the connection. A grant with a
// greater fence keeps earlier ones from being applied later, but ends none that
// was applied before: the target may hold keys until the last of its grants
// expires. A target that has released keys no longer holds them under grants that
// it does not apply later, but may still acquire them under the others. Keys may be
// granted to another target only when Free reports that the first target holds none
// of them.
//
// Targets are identified by id alone, because a target that has restarted with
// the same id may have received a grant meant for its previous incarnation.
//
// The package has no I/O; the caller passes times of a clock that does not stop
// while the machine is suspended.
package fulmarledger
