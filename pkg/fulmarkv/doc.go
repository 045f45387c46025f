// Package fulmarkv defines the interface to a key-value service with revisions,
// leases and conditional writes that the coordination packages use.
//
// The errors of a Store state whether a call may have taken effect. The package
// has no implementation: an adapter implements Store for a given service.
package fulmarkv
