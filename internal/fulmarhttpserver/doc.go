// Package fulmarhttpserver accepts callers' HTTP/1.1 connections.
//
// Requests are parsed by net/http. Unlike its server, this one reads the next
// request of a connection while earlier ones are being served, so that
// pipelined idempotent requests are executed concurrently and a caller that
// closes its connection is detected at once. Answers are written in the order
// of the requests. A request that is not idempotent starts only after all
// earlier requests of its connection were answered; it does not start if an
// earlier answer closes the connection.
//
// A connection is in one of four states:
//
//   - open: requests are read and answered.
//   - finished: no further answer is written, as the last one announced it,
//     an answer broke off, or a request was rejected; requests in flight are
//     cancelled. Requests that were not answered count as not read.
//   - closing: the caller has been told by the end of the server's side that
//     nothing follows. What was written is being delivered, and the caller's
//     remaining bytes are read and discarded, as unread ones would turn the
//     close into a reset that drops undelivered answers. Its time and bytes
//     are limited, and it ends with the server's context.
//   - closed.
//
// An incomplete answer is recognised by its length or its missing last chunk.
// Where only the end of the connection ends a body, the connection is reset.
package fulmarhttpserver
