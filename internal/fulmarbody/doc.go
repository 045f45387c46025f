// Package fulmarbody holds the prefix of a request body in memory, so that small
// bodies can be sent again and large ones are streamed.
package fulmarbody
