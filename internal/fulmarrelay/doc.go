// Package fulmarrelay takes callers' requests to targets and their answers back.
//
// It selects the route, chooses a target that owns the key or has room, sends
// the request at most as often as the route and the fleet's allowance permit,
// and decides what the caller is told. A request that is not idempotent is sent
// again only if its target stated that it did not run it, or if no byte of it
// was sent.
package fulmarrelay
