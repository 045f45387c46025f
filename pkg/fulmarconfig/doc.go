// Package fulmarconfig parses, edits and compares the operators' configuration:
// fleet-wide defaults and a list of exceptions, each with a reason.
//
// Parse reads TOML text strictly: unknown keys and values out of bounds are
// errors. It returns all errors at once in a *FaultsError, each with line and
// field. Durations are strings in Go's syntax; sizes are strings in B, KiB or
// MiB.
//
// An exception names a service, a group or both. For each setting the most
// specific exception takes precedence. Two equally specific exceptions that set
// the same value for the same group at the same service overlap, which is an
// error. An exception for a service and one for a group are equally specific,
// so they overlap even if a third exception names both.
//
// A Config is immutable. The methods that edit it return the edited text, with
// the comments of all remaining lines. Versioned is the stored form in the
// key-value service: CBOR, with a text of at most MaxTextSize bytes.
package fulmarconfig
