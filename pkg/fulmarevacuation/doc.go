// Package fulmarevacuation decides in which order and at which pace the targets
// of an evacuated data centre hand over their keys.
//
// It answers the load of an evacuation: with four data centres, the others get
// a third more work. Keys whose target hands them over wait for the work that
// runs on them, and if all of them did so at once, the requests of a quarter of
// the keys would wait and then arrive together. A Schedule spreads the load
// evenly over the time that operators leave, the busiest targets first, so that
// the plan can still even out where their load went.
//
// The package has no I/O and no clock.
package fulmarevacuation
