// Package fulmarconfigreader reads the operators' configuration from the
// key-value store, apart from everything else that the store holds.
//
// A configuration is small and its versions are the store's. A daemon that
// cannot read the targets, or gets them late, can still follow it.
package fulmarconfigreader
