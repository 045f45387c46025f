// Package fulmartransport sends HTTP requests over pooled connections and reports
// whether a failed request may have reached the server.
//
// net/http retries a request if a reused connection breaks and the method or an
// Idempotency-Key header marks it as idempotent. An order to a target must not
// be sent twice, so RoundTrip disables these retries. An error that matches
// ErrUnsent means that no byte of the request was sent and that none will be;
// after any other error the request may have run.
package fulmartransport
