// Package fulmarcontrol keeps a daemon's part in the control of the fleet.
//
// A Controller runs one goroutine for each duty: a heartbeat loop for each
// peer, a keeper for each target of the table, the election and the loop of
// the planner, and the calls to the key-value service. They share the state
// of the daemon under one lock; network calls are made outside of the lock.
//
// Two rules keep ownership single. A table is adopted only if its epoch is
// higher than the one in force. And the latest possible end of a grant is
// recorded under the lock before the grant is sent, with the slots of the
// table then in force, so that an acknowledgement of a newer epoch always
// covers the grants that were decided on earlier.
package fulmarcontrol
