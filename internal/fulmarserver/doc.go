// Package fulmarserver is a stand-in target: an HTTP server that owns keys,
// accepts fenced grants and executes requests. It serves trials and tests and is
// not part of the deployed system.
//
// Headers of a request control the simulated work: Lab-Work (a Go duration),
// Lab-Size (bytes of the answer) and Lab-Crash: 1 (the process exits halfway
// through the work). PUT /lab/mode switches draining and load shedding.
//
// Each event is written to the history before its effect is answered, and an
// event that cannot be written has no effect. Grant events are written under the
// lock that applies the grant, so that the history has the order in which the
// register applied them.
package fulmarserver
