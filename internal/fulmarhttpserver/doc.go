// Package fulmarhttpserver accepts callers' HTTP/1.1 connections.
//
// Requests are parsed by net/http. Unlike its server, this one reads the next
// request of a connection while earlier ones are being served, so that
// pipelined idempotent requests are executed concurrently and a caller that
// closes its connection is detected at once. Answers are written in the order
// of the requests. A request that is not idempotent starts only after all
// earlier requests of its connection were answered; it does not start if an
// earlier answer closes the connection.
package fulmarhttpserver
