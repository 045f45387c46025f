// Package fulmardedup remembers request ids, so that each request of an
// at-most-once service runs at most once.
//
// # Horizon
//
// Each slot has a horizon, a time after which its records are complete: an id
// with a later time that isn't held has not run. An id that isn't held and
// whose time is not after the horizon may have run, so Begin returns Unknown.
// The time of an id is that of its UUID version 7, in milliseconds; other
// versions have no time and give Unknown.
//
// Open sets the horizon to now plus twice the bound on the difference between
// clocks. An earlier dispatcher accepted ids up to its own clock plus the
// bound, and its clock was at most one bound ahead of this one, so none of them
// is after the horizon. This holds only if the earlier dispatcher's orders are
// fenced off before Open. Times passed in must be wall-clock times.
//
// # Eviction
//
// A record is dropped by Expire when its id is older than Settings.Retention,
// or when the number of ids exceeds Settings.MaxIDs; in that case the record
// with the oldest id is dropped. Both raise the horizon at least to the time of
// the dropped id. Ids in flight are never dropped, so they may exceed the
// limit; the queue bounds their number. If the stored answers exceed
// Settings.MaxBytes, the headers and bodies of the earliest finished ones are
// dropped and marked as dropped; the ids are kept.
//
// # Handover
//
// Export must be called after the slot stops admitting work. If ids are still
// in flight, the exported horizon covers them, so that the importer answers
// Unknown for them. Import into an open slot adds the records and keeps the
// later horizon. A slot that was imported for a move that was then cancelled
// must be closed: its horizon does not cover later work on other dispatchers.
//
// The package returns no errors; callers act on the verdicts.
package fulmardedup
