// Package fulmarcrashexchange lets daemons without a leader tell each other
// which requests crash targets.
//
// With a leader, daemons report crashes to it, and it tells all of them. While
// there is none, each daemon regularly sends what it knows to a few others,
// whose addresses the last leader has told, and takes over what they know. All
// daemons know nearly the same few addresses, so that what one knows reaches the
// others through these within a few rounds.
package fulmarcrashexchange
