// Package fulmarrecovery decides from what a new leader starts after the store of
// the ownership tables was restored from an older copy.
//
// The stored tables may then be any number of changes behind the grants that were
// sent: keys may be held by targets that the tables do not name, under fences that
// they do not count. A leader writes the tables before its first order of an era,
// so tables of the present era are complete. Otherwise it starts from its Memory,
// if it led when the former era ended, and else grants no keys until all grants of
// the former era have lapsed.
//
// The package has no I/O; the caller passes times of a clock that does not stop
// while the machine is suspended.
package fulmarrecovery
