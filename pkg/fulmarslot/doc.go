// Package fulmarslot is the slot table: it maps each slot of a service to the
// target that owns it, and lists the targets, the roster of daemons and the
// quarantined request fingerprints.
//
// A Table is immutable and safe for concurrent use. With applies a batch of
// changes to a copy, raises the epoch by one and shares all slots that the batch
// does not touch. Each change is checked; the first one that does not apply makes
// With return a *ChangeError that wraps one of the sentinel errors of the package,
// and no table.
//
// Slots are numbered from 0. The plain slots of a service come first, followed by
// the slots of its hot keys. The slot of a removed hot key stays empty, with a zero
// Assignment, and is given to another hot key only after reuse epochs, so that two
// daemons with tables of nearby epochs do not take one number for two keys.
//
// The binary form is CBOR. Owners are stored by index among the targets of their
// service, one byte for a slot with up to 254 targets and two bytes with more.
// Decode checks all that the changes check, refuses unknown fields and trailing
// bytes, and returns a *DecodeError. Quarantine times are kept in milliseconds.
package fulmarslot
