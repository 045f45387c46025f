// Package fulmarroutecheck checks a configuration of routes before it is put in
// force.
//
// Check reports the faults for which daemons reject the configuration, by the same
// validation, and what they accept although it cannot be meant: routes that match
// no request, services that no route names, and limits that contradict each other.
// Diff describes what differs from another version. The package has no I/O.
package fulmarroutecheck
