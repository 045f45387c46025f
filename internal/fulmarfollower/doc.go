// Package fulmarfollower keeps a daemon's view of the fleet current.
//
// A Follower sends load reports to the leader and applies the updates that it
// gets in return. While there is no leader, or none that answers, it reads the
// store itself and stands for election.
package fulmarfollower
