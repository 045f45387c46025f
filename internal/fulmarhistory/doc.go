// Package fulmarhistory records and checks histories of targets and callers. It
// is used by tests and lab tools, not by the daemons.
//
// A history is an append-only file of JSON lines. Times are wall-clock
// nanoseconds of one machine. Check applies these rules:
//
//   - doubled: a request id of an at-most-once service has at most one start and
//     at most one commit, over all targets. A service is at most once if any call
//     to it says so; its ids that are not in the callers' log are checked as well.
//   - refused-ran: before each start of an id, an attempt with the same id was
//     sent whose outcome is not not-run. An id whose attempts all ended as not-run
//     therefore has no start. Starts whose id is not in the callers' log are not
//     checked.
//   - broken: an answer with the outcome served has the requested length, names
//     the request's own id, and belongs to a commit of that id before its end.
//   - owners: no slot of a service is covered by unexpired grants of two targets
//     at the same time. A grant covers its slots until it expires, until the next
//     grant of the same target, or until the target restarts. Porcupine checks the
//     acquisitions and releases of each slot against a register that holds one
//     owner. For unfenced targets, the executions in a slot are checked instead
//     of grants.
//   - keys: no two targets execute orders for one key at the same time, whatever
//     slot numbers they use, and a key changes its target only to a newer epoch.
//   - unfenced: a fenced target starts and commits an order only under a grant
//     that covers its slot and has not expired. This rule checks the simulated
//     target, not the daemons.
//
// LongestGap measures unavailability, CheckConfigVersions checks that a new
// configuration takes effect in time, and StartsAfter lists the executions that
// a target started after a given time.
package fulmarhistory
