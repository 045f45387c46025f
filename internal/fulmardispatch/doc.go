// Package fulmardispatch dispatches the requests of one target: it admits
// requests for granted slots, queues them by group, runs each at most once at a
// time and passes on whole answers.
//
// All decisions about a request are taken under one lock. A request that is
// refused as not run is taken out of the queue, and its id out of the request
// memory, before the lock is released, so that it can't start afterwards.
//
// An idempotent order ends with its caller. An order of an at-most-once service
// runs in a goroutine of its own until it ends, and its answer is recorded for
// duplicates even if nobody waits any more.
package fulmardispatch
