// Package fulmarfrontdaemon runs the daemon in front of targets that own key ranges.
//
// A Daemon accepts callers' connections, forwards their requests, and is a
// follower or the leader of the fleet. It keeps no persistent state of its own:
// all durable data is in the key-value service.
package fulmarfrontdaemon
