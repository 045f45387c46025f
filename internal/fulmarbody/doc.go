// Package fulmarbody holds a request body of which the first part is kept, so
// that small bodies can be sent again and large ones are streamed.
package fulmarbody
