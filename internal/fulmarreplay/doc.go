// Package fulmarreplay replays load patterns against the decisions of the
// router in virtual time.
//
// It models callers, daemons, and targets with slots and queues, and calls the
// same packages that decide in the daemon: which target owns which keys, and
// what is sent, held back or refused. A run of half a minute takes a fraction of
// a second, is repeatable by its seed, and reports the worth of the requests
// served. It is a tool for choosing policies; figures for the users' platform
// come from their bench.
package fulmarreplay
