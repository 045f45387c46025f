// Package fulmarmemory is a key-value service in memory for tests and
// stand-ins.
//
// It follows the contract of fulmarkv: one revision counter, conditional
// changes, leases that remove their keys. Faults can be injected for each
// caller: calls that are turned away, hang, lose their answer before or after
// they were done.
package fulmarmemory
