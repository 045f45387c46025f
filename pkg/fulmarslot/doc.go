// Package fulmarslot implements the slot table (partition map). The table maps each
// slot of a service to the target that owns it, and lists the targets, the roster of
// daemons and the quarantined request fingerprints.
//
// A Table is immutable and safe for concurrent use. Table.With applies a batch of
// changes to a copy, increments the epoch and shares all slots that the batch does
// not touch. Each change is validated. If one does not apply, With returns no table
// and a *ChangeError that wraps one of the sentinel errors of the package.
//
// Slots are numbered from 0. The plain slots of a service come first, followed by
// the slots of its hot keys. The slot of a removed hot key stays empty, with a zero
// Assignment. It is reused for another hot key only after 64 epochs, so that two
// daemons with tables of nearby epochs do not use the same slot for different keys.
//
// The binary form is CBOR. Owners are stored as indexes into the targets of their
// service, in one byte per slot with up to 254 targets and in two bytes with more.
// Decode performs the same checks as the changes, rejects unknown fields and
// trailing bytes, and returns a *DecodeError. Quarantine times have millisecond
// precision.
package fulmarslot
