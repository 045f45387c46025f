// Package fulmarrange maps keys to the targets that own them.
//
// The key space is 0 to MaxKey. A Table divides it into segments. Each segment
// records the target incarnation that owns its keys, the fence (fencing token)
// of that ownership, and the claims of prior owners that may still hold the
// keys. Tables are immutable; the With methods return changed copies.
//
// The table records every target that may hold a key: an owner is written to
// the key-value service before it receives its first grant, and a prior owner
// remains in the table until it has released the keys or its grant has
// certainly expired.
package fulmarrange
