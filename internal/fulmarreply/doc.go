// Package fulmarreply writes the outcome of a request as an HTTP answer and
// forwards the answers of targets and peers.
//
// An incomplete answer never looks complete: Copy returns an error and its
// caller panics with http.ErrAbortHandler, which closes the connection before
// the announced length or the last chunk.
package fulmarreply
