// Package fulmarmetric counts what a daemon does, with OpenTelemetry
// instruments that a registry of its own exposes in the Prometheus format.
//
// Times are in seconds. Each refusal and each retry is counted under its reason
// from package fulmaroutcome; there is no collective reason. A reason or outcome
// that the package does not name counts in fulmarbend_invalid_reasons_total.
// The number of label values is the product of services, groups and reasons, so
// callers pass only services and groups that the configuration has; an unknown
// name is passed as the empty string.
package fulmarmetric
