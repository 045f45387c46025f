// Package fulmarorder decides which grants and releases targets are sent.
//
// A Book holds the committed table of one service and what is known of the
// grants in force. For each target it names the next order that is due: a
// release of keys that have another owner now, a first grant of keys that no
// earlier owner can hold any more, or the renewal of a grant. Orders follow
// from committed tables only, so whoever reads the table knows all possible
// holders.
//
// The package has no I/O. Times are those of a clock that does not stop while
// the machine is suspended. A Book is not safe for concurrent use.
package fulmarorder
