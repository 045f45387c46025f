// Package fulmarmetric holds the metrics of a daemon. They are OpenTelemetry
// instruments, exposed in the Prometheus format from a registry of their own.
//
// Times are in seconds. Each refusal and each retry is counted under its reason
// from package fulmaroutcome; there is no catch-all reason. A reason that is not
// valid for its outcome, or for a retry, counts in
// fulmarbend_invalid_reasons_total instead.
//
// The number of time series grows with the product of services, groups and
// reasons. Callers must therefore pass only services and groups that the
// configuration has, and the empty string for an unknown name.
package fulmarmetric
