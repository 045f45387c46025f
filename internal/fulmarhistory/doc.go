// Package fulmarhistory writes and checks the histories of targets and callers;
// it is no part of the system.
//
// A history is a file of JSON lines that is only appended to. Times are
// wall-clock nanoseconds of one machine. Check applies these rules:
//
//   - doubled: a request id of an at-most-once service has at most one start and
//     at most one commit, over all targets.
//   - refused-ran: each start of an id was preceded by the sending of an attempt
//     of the same id whose outcome was not not-run. An id whose attempts were
//     all refused as not run therefore has no start. Starts whose id is not in
//     the callers' log are not judged.
//   - broken: an answer with the outcome served has the requested length, names
//     the request's own id, and belongs to a commit of that id.
//   - owners: no slot of a service is covered at one moment by unlapsed grants of
//     two targets. A grant covers its slots until it lapses, until the next grant
//     of the same target, or until the target starts again. Porcupine checks the
//     acquisitions and releases of each slot against a register of one owner.
//     For targets that check no fence, the executions of a slot take the place
//     of grants.
package fulmarhistory
