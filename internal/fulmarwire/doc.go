// Package fulmarwire defines the messages between daemons and their encoding.
//
// Messages are CBOR maps with one-word keys. Decoding ignores unknown keys, so
// that daemons of neighbouring versions understand each other, and bounds the
// nesting and the number of elements, so that a hostile message can't exhaust
// memory. Durations are nanoseconds; times that cross a connection are sent as
// remaining durations because clocks of daemons differ.
package fulmarwire
