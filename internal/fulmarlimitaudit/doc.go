// Package fulmarlimitaudit checks that a target does not get more requests than
// the limit that it has stated allows.
//
// The rule is that of the users: in any 4 s, from 3 s after the target first
// stated a limit, it gets at most one and a half times what the limit allows,
// and 5 requests more. Stand-ins of targets and simulations use it.
package fulmarlimitaudit
