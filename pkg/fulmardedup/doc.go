// Package fulmardedup remembers request ids, so that a request of an
// at-most-once service runs at most once.
//
// # Horizon
//
// The memory of each slot has a horizon. It is complete for ids whose time is
// after the horizon: such an id that isn't held has not run. An id that isn't
// held and whose time is not after the horizon may have run, so Begin returns
// Unknown. The time of an id is that of its UUID version 7, in milliseconds;
// other versions have no time and give Unknown.
//
// Open sets the horizon to now plus twice the bound on the difference between
// clocks. An earlier dispatcher accepted ids up to its own clock plus the
// bound, and its clock was at most one bound ahead of this one, so none of
// them is after the horizon. This holds only if the earlier dispatcher's orders
// are fenced off before Open. Times passed in must be wall-clock times.
//
// # Eviction
//
// A record is dropped by Expire when its id is older than the span, or when the
// number of ids exceeds the limit; then the one with the oldest id goes. Either
// raises the horizon to the time of the dropped id at least. Ids in flight are
// never dropped, so they may exceed the limit; the queue bounds their number.
// If the kept answers exceed the limit on bytes, the bodies of those finished
// first are dropped and marked so, while the ids stay.
//
// # Handover
//
// Export must be called when the slot admits no more work. If ids are still in
// flight, the exported horizon covers them, so that the importer answers
// Unknown for them. Import into an open slot adds the records and keeps the
// later horizon. A slot that was imported for a move that was then cancelled
// must be closed: its horizon says nothing about later work elsewhere.
//
// The package returns no errors; verdicts say what to do.
package fulmardedup
