// Package fulmarrotation keeps the limits of targets while no leader dispenses
// permits.
//
// Each daemon gets a turn at each target from time to time, in which it may send
// one request. A turn that is not used is lost, so daemons that were idle cannot
// send at the same moment. All daemons together send at most half of the limit:
// a part of the fleet may be cut off from a leader that still dispenses permits
// for the whole limit.
//
// The package has no I/O and no clock.
package fulmarrotation
