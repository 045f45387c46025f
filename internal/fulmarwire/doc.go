// Package fulmarwire defines the messages between daemons and their encoding.
//
// Messages are CBOR maps with one-word keys. Decoding ignores unknown keys, so
// that daemons of adjacent versions interoperate, and limits the nesting and the
// number of elements, so that a malicious message can't exhaust memory.
// Durations are in nanoseconds. Deadlines are sent as remaining durations,
// because the clocks of daemons differ.
package fulmarwire
