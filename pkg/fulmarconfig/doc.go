// Package fulmarconfig is the operators' configuration: fleet-wide defaults
// and a short list of exceptions, each with a written reason.
//
// Parse reads the TOML form strictly and returns all faults at once in a
// *FaultsError, each with line and field. Durations are Go durations in
// strings; sizes are strings in B, KiB or MiB.
//
// An exception names a service, a group or both. For each value the most
// specific exception wins; two equally specific exceptions that set the same
// value for the same group at the same service overlap and are a fault. A
// service's exception and a group's exception are equally specific, so they
// overlap even if a third exception names both.
//
// A Config is immutable. The methods that edit it return the edited text, with
// the comments of all lines that stay. Versioned is the form that the key-value
// service keeps, in CBOR and bounded by MaxText.
package fulmarconfig
