// Package fulmarsnapshot reads the state of the fleet from the key-value
// service: who leads, who owns which keys, the operators' configuration and the
// targets.
//
// One linearizable read of everything serves all of them. Damaged values are
// reported once and left out; the others hold.
package fulmarsnapshot
