// Package fulmarfollow keeps a daemon's view of the fleet current.
//
// A Follower reports to the leader and adopts its updates. While there is no
// leader, or none that answers, it reads the store itself, and becomes the
// leader if nobody is.
package fulmarfollow
