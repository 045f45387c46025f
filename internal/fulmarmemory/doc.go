// Package fulmarmemory implements fulmarkv.Store in memory, for tests and the
// simulated platform.
//
// A Store has one revision counter, conditional transactions, and leases whose
// expiry deletes their keys. A Client injects faults into the calls of one
// caller: calls that are rejected, that get no response and are not applied, or
// that are applied but get no response.
package fulmarmemory
