// Package fulmarchooser lets the leader choose the targets of requests without
// keys for all daemons.
//
// A daemon tells the leader what it does at the targets, together with the
// requests that need a target, and gets a target for each. It does so for
// services whose targets report that they share their machines with others: only
// there does the load of a target change faster than one daemon can learn of it.
//
// A request that gets no answer of the leader in time is placed by what the
// daemon knows by itself, as is each one while there is no leader. So the leader
// is no condition for serving requests.
package fulmarchooser
