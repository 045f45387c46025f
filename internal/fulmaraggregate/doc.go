// Package fulmaraggregate sums the reports that a relay receives from other
// daemons between two of its own reports to the leader.
package fulmaraggregate
