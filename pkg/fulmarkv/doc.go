// Package fulmarkv defines what the coordination parts need of a key-value
// service with revisions, leases and conditional writes.
//
// Store is the narrow interface; its errors state whether a call may have taken
// effect. The package has no implementation: an adapter translates the calls
// for a given service.
package fulmarkv
