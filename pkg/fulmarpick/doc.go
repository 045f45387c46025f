// Package fulmarpick chooses a target among those that can serve a request.
//
// A Board combines what a daemon knows of each target: its own requests in
// flight, the load that the target reported with its last answer, its usual
// time for a request and recent failures. Knowledge of others' requests is old
// by the time that it is used, so reported load decays.
package fulmarpick
