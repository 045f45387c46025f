// Package fulmarkeyload records the load that a daemon observes between two
// reports to the leader: requests by key, and the load on each target.
package fulmarkeyload
