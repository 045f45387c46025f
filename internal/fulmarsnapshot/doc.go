// Package fulmarsnapshot reads the state of the fleet from the key-value store:
// the leader, the ownership tables, the operators' configuration and the
// targets.
//
// A snapshot is one linearizable read of all keys. Values that cannot be decoded
// are logged once per revision and ignored; the others are used. Only invalid
// ownership tables fail the whole read.
package fulmarsnapshot
