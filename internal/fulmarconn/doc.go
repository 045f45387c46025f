// Package fulmarconn provides connections on which a reset is not mistaken for an
// orderly close.
//
// The kernel reports the loss of a TCP connection once. If a write gets the error,
// later reads return what has arrived and then io.EOF, so that a part of an HTTP
// answer without a length looks whole. A Conn remembers the error for its reads.
package fulmarconn
