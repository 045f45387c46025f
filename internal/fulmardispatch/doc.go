// Package fulmardispatch dispatches requests to one target. A Dispatcher admits
// requests for the slots that are granted to it, queues them by group, runs each
// at most once at a time and relays the responses. A truncated response is
// never relayed as a complete one.
//
// Every decision about a request is made under one lock. A request that is
// refused as not-run is removed from the queue, and its id from the
// deduplication records, before the lock is released, so it cannot start
// afterwards.
//
// A request of an idempotent service is canceled with its caller. A request of
// an at-most-once service runs in its own goroutine until it ends, and its
// response is recorded for duplicates even if no caller waits for it any more.
package fulmardispatch
