// Package fulmarquantile estimates quantiles of a stream of durations.
//
// An Estimator keeps a histogram whose buckets grow by a constant ratio, so that
// its memory is constant and the relative error of a quantile is bounded. Earlier
// durations lose weight as later ones arrive, so that the estimate follows a
// change. The package has no I/O and no clock.
package fulmarquantile
