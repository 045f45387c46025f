// Package fulmarexperiment measures the queueing and planning policies in virtual
// time. The command fulmarlab bench prints its tables.
//
// Run is a discrete-event simulation. It feeds one fulmarqueue.Queue and one
// fulmarcost.Estimator with seeded arrivals and serves the items on the slots of
// one target. There is no network, no dispatcher and no retry, so the results
// depend on the order of service alone. Service times of requests are exponentially
// distributed around the mean of their source; those of a payout run, which sends
// long requests (stragglers), are constant.
//
// The Fair discipline meets the goals of section 1.6 of the design. It contains a
// surge of one group, also in the first second. It serves short work beside one
// straggler up to a load of 0.3 of the target, and beside two stragglers up to
// 0.05. At higher loads the slots that the stragglers leave are too few for any
// order of service that neither cuts off a straggler nor refuses short work.
// MeasurePayout therefore compares with an ideal, a target that has only these
// slots and no long work; Fair stays within 1.05 times the ideal at all loads of
// the tests.
//
// MeasureBalance and MeasureChurn feed the planner with the load of 20,000 keys on
// 20 targets, and compare it with hashing without a table. Compare-and-swaps of
// the planner succeed, members acknowledge at once, and a cooperative move ends
// after one step of 250 ms, so the results depend on the planner's decisions alone.
package fulmarexperiment
