// Package fulmarview holds a daemon's local view of the fleet.
//
// A View is an immutable snapshot of the configuration, the targets and the
// owners of keys, with the time up to which it is known to be current. A Holder
// keeps the newest one and notifies waiters of a change.
package fulmarview
