// Package fulmarexperiment measures the queue core in virtual time.
//
// A run feeds one fulmarqueue.Queue and one fulmarcost.Estimator with seeded
// arrivals and serves the items on the slots of one target in a simulation of
// discrete events. There is no network, no dispatcher and no retry: the figures
// are those of the order of service alone. Times that a request uses are
// exponential around the mean of its source; those of a payout run are constant.
//
// The goals of section 1.6 of the design hold for the Fair discipline with
// these bounds: the surge also in its first second; short work beside one
// straggler up to a short load of 0.3 of the target, beside two stragglers up to
// 0.05. Above, the slots that the stragglers leave are too few. Beside two
// stragglers at a short load of 0.2, FIFO exceeds the bound as well, and Static,
// which admits one straggler at a time, doubles the time of the run.
//
// The table is printed by go test -v ./internal/fulmarexperiment -ginkgo.v.
package fulmarexperiment
