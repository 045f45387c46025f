// Package fulmarnotice holds what targets say of themselves in their answers:
// that they leave, and that they want no requests from this daemon for a time.
//
// A target may say so before its entry in the store does, or while the store
// cannot be read, and a daemon that has passed such an answer on is bound by it.
// A notice ends with the process of its target; a pause also with its time.
package fulmarnotice
