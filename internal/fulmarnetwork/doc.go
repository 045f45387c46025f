// Package fulmarnetwork passes connections between the servers of a test on,
// and breaks them.
//
// A Network listens in the place of each server. The connections between two
// servers can be refused or made silent, and restored; servers are told apart by
// the addresses that their connections come from.
package fulmarnetwork
