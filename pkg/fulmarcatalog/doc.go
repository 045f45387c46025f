// Package fulmarcatalog holds the set of targets that the platform reports.
//
// A Catalog is immutable. Read derives it from successive reads of the
// targets' entries. After an outage of the store, when entries of running
// targets may be missing, it retains missing targets for a short time.
package fulmarcatalog
