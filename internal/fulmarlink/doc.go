// Package fulmarlink is an HTTP/1.1 client with a pool of persistent connections
// to targets.
//
// A Pool sends each request at most once and reports whether any byte of it was
// written. The calling goroutine writes the request and reads the answer, so an
// idle connection needs no goroutine; the pool checks just before the next use
// whether the target has closed it. Answers are matched by request id: late
// answers to earlier requests on the same connection are skipped. A connection
// is reused only after a complete exchange.
package fulmarlink
