// Package fulmarera tells the states of a key-value store apart that was restored
// from an older copy.
//
// An era is the time between two restores. Within an era the store loses nothing
// that it has acknowledged, and its revisions name contents. A restored store
// gives revisions out again for other contents, and its leases are gone. A
// Revision therefore carries the era in which it was given, so that revisions of
// different eras are never equal.
//
// A Tracker decides which era is in force from what the store's answers state. It
// has no I/O; an adapter passes on what it has read.
package fulmarera
