// Package fulmarhistory writes and checks the histories of targets and callers;
// it is no part of the system.
//
// A history is a file of JSON lines that is only appended to. Times are
// wall-clock nanoseconds of one machine. Check applies these rules:
//
//   - doubled: a request id of an at-most-once service has at most one start and
//     at most one commit, over all targets. A service runs at most once if a call
//     says so; ids of it that are not in the callers' log are judged as well.
//   - refused-ran: each start of an id was preceded by the sending of an attempt
//     of the same id whose outcome was not not-run. An id whose attempts were
//     all refused as not run therefore has no start. Starts whose id is not in
//     the callers' log are not judged.
//   - broken: an answer with the outcome served has the requested length, names
//     the request's own id, and belongs to a commit of that id before its end.
//   - owners: no slot of a service is covered at one moment by unlapsed grants of
//     two targets. A grant covers its slots until it lapses, until the next grant
//     of the same target, or until the target starts again. Porcupine checks the
//     acquisitions and releases of each slot against a register of one owner.
//     For targets that check no fence, the executions of a slot take the place
//     of grants.
//   - keys: no two targets work on one key at one moment, whatever its slot
//     numbers are, and a key changes its target only towards a newer epoch.
//   - unfenced: a fenced target starts and commits an order only under a grant
//     that covers its slot and has not lapsed. This rule checks the stand-in.
//
// LongestGap measures unavailable time, CheckVersions judges the spread of a
// configuration, and Began lists what a target began after a moment.
package fulmarhistory
