// Package fulmarnetwork is a TCP proxy that simulates network faults between the
// servers of a test.
//
// A Network listens on an address for each server and forwards connections to
// it. The connections between two servers can be refused or stalled, and
// restored. The server that opens a connection is identified by its source
// address.
package fulmarnetwork
