// Package fulmardetour reaches the store through other daemons while it cannot
// be reached directly.
//
// Calls that may be repeated (reads, and those that extend a lease) are made
// through another daemon as well if the store has not answered for a short
// time. All others take the detour only if the direct call surely had no effect.
// Once a detour has worked, calls take it at once until the store answers a
// direct call again.
//
// A daemon that leads goes on leading in this way when it alone is cut off from
// the store.
package fulmardetour
