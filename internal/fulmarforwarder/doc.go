// Package fulmarforwarder forwards callers' requests to targets and returns the
// targets' answers.
//
// It selects the route, chooses a target that owns the key or has capacity,
// sends the request at most as often as the route and the retry budget of the
// fleet permit, and determines the answer to the caller. A request that is not
// idempotent is retried only if its target stated that it did not execute the
// request, or if no byte of the request was sent.
package fulmarforwarder
