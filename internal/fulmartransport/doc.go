// Package fulmartransport sends HTTP requests over pooled connections and reports
// whether a failed request may have reached the server.
//
// net/http retries a request if a reused connection breaks and the method or an
// Idempotency-Key header marks it as idempotent. An order to a target must not
// be sent twice, so RoundTrip disables these retries. An error that matches
// ErrUnsent means that no byte of the request was sent and that none will be;
// after any other error the request may have run.
//
// net/http may return an answer while another goroutine still reads the body of the
// request. RoundTrip sends the request to its end before it returns an answer
// below 400, and reads nothing of the body after it has returned.
//
// A reset is no end of an answer without a length, also if the request was still
// being sent, and a head with a status or a field name that is none is no answer.
//
// net/http takes the bytes that follow a request on a kept connection for its
// answer, also if they are an answer too many to an earlier request.
// RoundTripWithID gives each request an id and accepts only an answer that repeats
// it.
package fulmartransport
