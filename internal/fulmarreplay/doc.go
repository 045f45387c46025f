// Package fulmarreplay simulates load patterns in virtual time against the
// decisions of the router.
//
// A simulation models callers, daemons, and targets with slots and queues. The
// key ranges of the targets are planned by package fulmarassign, which the daemon
// uses too; an Admission decides which requests are sent, queued or refused. A
// run of half a minute takes a fraction of a second, is repeatable by its seed,
// and reports the worth of the requests served: the weighted share of requests
// that were answered, less the cost of refusals and of moved keys. The package is
// a tool for choosing policies; figures for the users' platform come from their
// bench.
package fulmarreplay
