// Package fulmarretain tells for which targets a process keeps what it has
// learned of them.
//
// Entries of targets vanish for some seconds when the store was away, so a
// target counts as gone only after it has been absent for a whole span.
package fulmarretain
