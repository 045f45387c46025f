// Package fulmarexperiment measures the policy cores in virtual time.
//
// A run feeds one fulmarqueue.Queue and one fulmarcost.Estimator with seeded
// arrivals and serves the items on the slots of one target in a simulation of
// discrete events. There is no network, no dispatcher and no retry: the figures
// are those of the order of service alone. Times that a request uses are
// exponential around the mean of its source; those of a payout run are constant.
//
// The goals of section 1.6 of the design hold for the Fair discipline: the surge
// also in its first second; short work beside one straggler up to a short load
// of 0.3 of the target, beside two stragglers up to 0.05. Above, the slots that
// the stragglers leave are too few for any order of service that neither cuts off
// a straggler nor refuses short work. MeasurePayout therefore compares with an
// ideal, a target that has only these slots and no long work; Fair stays within
// 1.05 times the ideal at all loads measured.
//
// MeasureBalance and MeasureChurn feed the planner core with the load of 20,000
// keys on 20 targets, and compare it with hashing without a table. Its
// compare-and-swaps succeed, members acknowledge at once and a cooperative move
// ends after one step of 250 ms, so the figures are those of its decisions alone.
//
// The tables are printed by fulmarlab bench.
package fulmarexperiment
