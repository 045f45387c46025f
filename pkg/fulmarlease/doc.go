// Package fulmarlease implements the quorum lease that bounds how long a daemon
// may act on its slot table.
//
// A lease is held while, within the last window, a majority of the roster
// answered a request without reporting a newer epoch, or a consistent read of the
// key-value service returned the holder's own epoch. A confirmation counts from
// the time at which the request was sent, because the answer may describe the
// state at any time after that. The holder counts towards the majority without a
// confirmation, so a roster of only the holder is always confirmed.
//
// Only the incarnation listed in the roster may confirm: a restarted process has
// lost the epochs that its previous incarnation acknowledged. The caller checks
// this before it calls Confirm.
//
// Times are readings of one monotonic clock, passed in by the caller. No function
// returns an error.
package fulmarlease
