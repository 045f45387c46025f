// Package fulmarreply writes the outcome of a request as an HTTP answer and
// passes on the answers of targets and peers whole or not at all.
//
// An answer whose body breaks off is never ended as if it were complete: Copy
// reports the fault and its caller panics with http.ErrAbortHandler, which
// closes the connection before the announced length or the last chunk.
package fulmarreply
