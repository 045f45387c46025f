// Package fulmarclock reads a clock that goes on while the machine is suspended, and waits.
//
// Leases and grants must not seem younger after a suspension than they are.
package fulmarclock
