// Package fulmartransport sends HTTP requests over pooled connections and tells
// whether a request that failed may have reached the other side.
//
// net/http resends a request on its own if a reused connection breaks and the
// method or an Idempotency-Key header makes it seem safe. An order to a target
// must not be sent twice, so each request is made unfit for that. An error that
// matches ErrUnsent states that no byte of the request was sent and that none
// will be; after any other error the request may have run.
package fulmartransport
