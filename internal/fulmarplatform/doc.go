// Package fulmarplatform is a stand-in for the platform's key-value service and
// its list of instances and targets; it is no part of the system.
//
// It serves a subset of the published HTTP API of Consul: the key-value store
// with compare-and-swap, sessions and blocking reads, and the registration and
// catalog of services. Paths under /lab/ switch faults and return call counts.
// The state lives in memory and is lost with the process.
package fulmarplatform
