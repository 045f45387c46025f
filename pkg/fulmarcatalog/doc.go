// Package fulmarcatalog holds the list of targets that the platform reports.
//
// A Catalog is immutable. Tracker derives it from successive reads of the
// targets' entries and bridges the time after an outage of the store, in which
// entries of living targets may be missing.
package fulmarcatalog
