// Package fulmarstore is a client of the key-value service over Consul's public
// HTTP API: values with compare-and-swap, sessions, locks, blocking queries and
// the service catalog.
//
// Reads of values are consistent. The error of a failed write tells whether it
// may have taken effect:
//
//   - ErrConflict: it did not take effect, because the value's index is not the
//     expected one;
//   - ErrUnavailable: it did not take effect, because no part of the request was
//     sent;
//   - ErrAmbiguous: it may have taken effect, because the request may have been
//     sent. The caller reads the value back and compares it with what it wrote.
//
// A read that fails for any reason other than a missing key returns
// ErrUnavailable. A response of status 4xx other than 404 and 429 is returned as
// a *StatusError.
//
// At most one call of a kind (operation and key) is in flight; a second one
// waits, and the waiting time counts towards its timeout. The client does not
// retry; callers retry with jitter. The sizes of request and response bodies are
// limited.
package fulmarstore
