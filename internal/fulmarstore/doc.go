// Package fulmarstore is a client of the key-value service over the published
// HTTP API of Consul: values with compare-and-swap, sessions, acquisition,
// blocking queries and the catalog of services.
//
// Reads of values are consistent. A write that fails tells what is known:
//
//   - ErrConflict: the write did not take effect, because the value's index is
//     not the expected one;
//   - ErrUnavailable: the write did not take effect, because no part of the
//     request was sent;
//   - ErrAmbiguous: the request may have been sent, so the write may have taken
//     effect. The caller reads back and looks for what it wrote.
//
// A read that fails for any reason other than a missing key is ErrUnavailable.
// An answer of status 4xx other than 404 and 429 is a *StatusError.
//
// At most one call of a kind (operation and key) is in flight; a second one
// waits, and its waiting counts against its timeout. The client does not retry;
// jittered retry is the caller's concern. Bodies are bounded.
package fulmarstore
