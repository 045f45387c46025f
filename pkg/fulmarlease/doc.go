// Package fulmarlease decides until when a daemon may act on its slot table.
//
// A lease is held while, within the last window, a majority of the roster
// answered a request without showing a newer epoch, or a consistent read of the
// key-value service showed the holder's own epoch. Confirmations count from the
// moment at which the request was sent, because the answer may describe any
// moment after that. The holder is part of the majority without a confirmation,
// so a roster of the holder alone is always confirmed.
//
// Only the incarnation that the roster lists may confirm: a restarted process has
// forgotten the epochs that its former incarnation acknowledged. The caller checks
// this before it calls Confirm.
//
// Times are read from one monotonic clock and passed in. There are no errors.
package fulmarlease
