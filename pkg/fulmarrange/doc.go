// Package fulmarrange maps keys to the targets that own them.
//
// The key space is 0 to Last. A Table divides it into segments; each segment
// names the life of a target that should own its keys, the fence of that
// ownership, and the earlier owners that may still hold the keys. Tables are
// immutable; With methods return changed copies.
//
// The table is the record of who may hold a key: an owner is written to the
// key-value service before it gets its first grant, and an earlier owner stays
// in the record until it has released the keys or its grant has surely lapsed.
package fulmarrange
