// Package fulmarview holds what a daemon believes about the fleet.
//
// A View is an immutable snapshot of the configuration, the targets and the
// owners of keys, with the time up to which it is known to be current. A Holder
// keeps the newest one and wakes those who wait for a change.
package fulmarview
