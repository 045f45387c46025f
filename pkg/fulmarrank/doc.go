// Package fulmarrank ranks members for a name by rendezvous hashing.
//
// The score of a member for a name is computed from the xxhash of the member's id
// and that of the name; the highest score ranks first. Members in the given data
// centre rank before all others, and equal scores are ordered by id. Adding or
// removing a member doesn't change the relative order of the others, so only the
// names for which it ranks first get a different first member.
//
// A Ranker is immutable and safe for concurrent use. No function returns an error.
package fulmarrank
