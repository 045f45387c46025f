// Package fulmarserve accepts callers' HTTP/1.1 connections.
//
// Requests are parsed by net/http. Unlike its server, this one reads the next
// request of a connection while earlier ones are being served, so that
// pipelined idempotent requests run side by side and a caller that leaves is
// noticed at once. Answers are written in the order of the requests. A request
// that is not idempotent starts only when it is the first one unanswered on its
// connection; after an answer that closes the connection no later request
// counts as read.
package fulmarserve
