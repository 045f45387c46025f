// Package fulmarbody holds the prefix of a request body in memory, so that small
// bodies can be sent again and large ones are streamed.
//
// A send may still read after it has ended: net/http returns an answer while its
// write loop reads the request. So each send has a reader of its own, which is
// revoked with the end of the send.
package fulmarbody
