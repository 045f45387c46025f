// Package fulmarguard recognises requests that crash targets and keeps them
// from running again.
//
// A fingerprint identifies the work of a request. When a target is lost, the
// fingerprints in flight there become suspects. A single fingerprint in flight
// isn't condemned either, because the target may have been lost for another
// reason. Check lets a suspect run only alone. If a target is lost while a
// suspect runs alone there, the suspect is condemned and Check refuses it.
// Clear ends the suspicion of work that completed. Suspects and condemned
// fingerprints expire after the hold time.
//
// # Bound
//
// Work that crashes every target that runs it causes the loss of at most 2
// targets within each hold time: the first makes it a suspect, the second
// condemns it. The bound holds if a mark reaches each dispatcher before that
// dispatcher starts the work, and if no second copy of the work is in flight at
// that time. Each further copy in flight when the first target is lost may
// cause the loss of one more target, and so may a suspect that was dropped
// because the limit was reached, or a suspect that completed once and crashes a
// target later.
//
// # Limits
//
// At most limit marks are kept. The suspects that expire first are dropped
// first; a condemned fingerprint is dropped only if no suspects remain. Marks
// that were cleared or lifted are remembered until they would have expired, so
// that Merge of an older list doesn't restore them.
//
// The package returns no errors. New panics if its arguments are not positive.
package fulmarguard
