// Package fulmarcontrol implements the control plane of a daemon.
//
// A Controller runs one goroutine for each task: a heartbeat loop for each peer,
// a grant manager for each target in the table, the election and the loop of the
// planner, and the calls to the key-value service. They share the state of the
// daemon under one lock, which is never held during network calls.
//
// Two rules ensure that a slot has at most one owner. First, a table is applied
// only if its epoch is higher than that of the table in force. Second, the latest
// possible expiry of a grant is recorded under the lock before the grant is sent,
// with the slots of the table then in force, so that an acknowledgement of a newer
// epoch always covers the grants that were issued under older ones.
package fulmarcontrol
