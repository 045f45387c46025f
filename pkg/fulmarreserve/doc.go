// Package fulmarreserve bounds the memory that a process holds for its callers.
//
// The load pattern that it answers: many callers send large bodies slowly, or read
// large answers slowly, and what is held for each of them adds up to more than the
// instance has. A Budget admits bytes up to a total, and up to a part of it for
// each holder, so that one caller cannot take the room of all others.
//
// The package has no I/O and no clock.
package fulmarreserve
