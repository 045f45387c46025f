// Package fulmarsilence tells which data centres answer no calls.
//
// A data centre without power leaves the calls to all of its targets unanswered.
// Whoever asks each of them learns so only one by one: the last one after the
// whole interval between two calls to it. A board judges the data centre as
// soon as several calls to it have failed and none has been answered, so that
// the others need not be made.
//
// The package has no I/O; the caller passes the times.
package fulmarsilence
