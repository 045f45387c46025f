// Package fulmaridset holds sets of request ids in a few bytes for each id.
//
// A set keeps a hash of 32 bits for each id, so that Contains may report an id that
// was never added, about once in four billion look-ups, but never misses one that
// was. It fits uses in which a false hit costs little and a miss is an error.
package fulmaridset
