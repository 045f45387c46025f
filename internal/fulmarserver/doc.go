// Package fulmarserver is a stand-in target: an HTTP server that owns keys,
// takes fenced grants and executes orders; it is no part of the system.
//
// A caller's request shapes the simulated work by headers: Lab-Work (a Go
// duration), Lab-Size (bytes of the answer) and Lab-Crash: 1 (the process ends
// in the middle of the work). PUT /lab/mode switches draining and shedding.
//
// Each event is written to the history before its effect is answered, and an
// event that cannot be written has no effect. Grant events are written under the lock
// that applies the grant, so that their order is the order of the register.
package fulmarserver
