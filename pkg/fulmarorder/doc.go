// Package fulmarorder schedules the grants and releases that are sent to targets.
//
// A Scheduler holds the committed table of one service and a ledger of the
// grants that may be in force. For each target it returns the next order that
// is due: a release of keys that have been assigned to another owner, a first
// grant of keys that no prior owner can still hold, or the renewal of a grant.
// Orders are derived from committed tables only, so a reader of the stored
// table knows every target that may hold a key.
//
// The package has no I/O. Times are those of a clock that does not stop while
// the machine is suspended. A Scheduler is not safe for concurrent use.
package fulmarorder
