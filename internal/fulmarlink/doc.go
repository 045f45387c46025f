// Package fulmarlink exchanges requests and answers with targets over kept
// connections.
//
// A Pool sends each request at most once and reports whether any byte of it was
// written. The caller's goroutine writes the request and reads the answer, so
// an idle connection costs no goroutine; whether the target has closed it is
// looked up just before its next use. An answer is matched by its request id:
// late answers to earlier requests on the same connection are skipped. A
// connection is kept only after a complete exchange.
package fulmarlink
