// Package fulmarlimit holds the request limits that targets state in their
// answers.
//
// A target in need states how many requests a second it accepts from all
// daemons together. The limit holds until an answer of the target to a later
// request states none. Daemons exchange what they have received, so statements
// may arrive in any order.
package fulmarlimit
