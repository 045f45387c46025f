// Package fulmarfingerprint computes hashes that identify the work of requests:
// two requests with the same content have the same fingerprint, whatever their
// ids are.
package fulmarfingerprint
