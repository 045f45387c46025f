// Package fulmarplatform is a stand-in for the platform's key-value store and its
// catalog of instances and targets. It serves trials and tests and is not part of
// the deployed system.
//
// It serves a subset of the published HTTP API of Consul: the key-value store
// with compare-and-swap, sessions and blocking reads, and the registration and
// catalog of services. Paths under /lab/ inject faults and return call counts.
// The state is in memory and is lost when the process ends.
package fulmarplatform
