// Package fulmarcoldness tells which targets are cold, and how fast the fleet may
// send to them.
//
// It combines what the view says of a target, which comes from the target's entry
// and the leader, with what the target itself has said in its answers, and applies
// the rule of package fulmarwarmup. It bounds only targets of services whose
// configuration states what a cold target takes.
package fulmarcoldness
