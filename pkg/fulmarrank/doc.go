// Package fulmarrank ranks members for a name by rendezvous hashing.
//
// Each member has a score for each name, computed from the xxhash of the
// member's id and that of the name; the highest score ranks first. Members in
// the given data centre rank before all others, and equal scores are ordered by
// id. When a member is added or removed, the relative order of the others does
// not change, so only the names that it ranks first for get another first member.
//
// A Ranker is immutable and safe for concurrent use. It returns no errors.
package fulmarrank
