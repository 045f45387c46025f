// Package fulmarguard keeps requests that crash targets from running again.
//
// A fingerprint identifies the work of a request. When a target is lost, the
// fingerprints in flight there become suspects, also if there was only one: a
// target may be lost by chance. Check lets a suspect run only alone. If a target
// is lost while a suspect runs alone there, the suspect is condemned and Check
// refuses it. Clear ends the suspicion of work that completed. Suspects and
// condemned fingerprints expire after the hold time.
//
// # Bound
//
// Work that crashes every target which runs it costs at most 2 targets within
// each hold time: the loss that makes it suspect and the loss that condemns it.
// The bound holds if a mark reaches each dispatcher before that dispatcher
// starts the work, and if the work has no second copy in flight meanwhile. Each
// further copy in flight when the first target is lost may cost one more target,
// and so may a suspect that was dropped because the limit was reached, or a
// suspect that completed once and crashes later.
//
// # Limits
//
// At most limit marks are kept. The suspects that expire first are dropped
// first; a condemned fingerprint is dropped only if no suspect is left. Marks
// that were cleared or lifted are remembered until they would have expired, so
// that Merge of an older list doesn't restore them.
//
// The package returns no errors. New panics if its arguments are not positive.
package fulmarguard
