// Package fulmarlink is an HTTP/1.1 client with a pool of persistent connections
// to targets.
//
// A Pool sends each request at most once and reports whether any byte of it was
// written. The calling goroutine writes the request and reads the answer, so an
// idle connection needs no goroutine; the pool checks just before the next use
// whether the target has closed it. Answers are matched by request id: late
// answers to earlier requests on the same connection are skipped. An id names a
// request, not one send of it, and a target may repeat an answer. So no connection
// carries an id twice: it remembers those that it has carried, and is closed when
// its memory is full. A connection is reused only after a complete exchange.
//
// Targets in trouble send bytes that net/http takes for an answer although they are
// none: a status that is none, a field name that is none, or a part of a body
// without a length before a reset. The exchange then ends with ErrBroken.
package fulmarlink
