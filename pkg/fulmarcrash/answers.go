package fulmarcrash

import "time"

// answersSize is the number of answers that are remembered, in 2 MB: at 2,100 requests a second, with two fingerprints each, those of
// about half a minute. A request that crashes its target comes again after about two seconds, and the end of a silent target is known
// after 8 s at most.
const answersSize = 1 << 17

// answers remembers when work was answered that is under no suspicion yet: the first crash may be known to another daemon
// alone, or be known later. An answer takes the place of another one whose work has the same remainder; one that is forgotten
// clears nothing.
type answers struct {
	slots []answer // nil before the first answer
}

type answer struct {
	work uint64
	at   int64 // in nanoseconds since 1970; 0 for none
}

// add remembers that work was answered at the given time.
func (a *answers) add(at time.Time, work uint64) {
	if a.slots == nil {
		a.slots = make([]answer, answersSize)
	}
	a.slots[work%answersSize] = answer{work, at.UnixNano()}
}

// find returns when work was last answered, the zero time if that isn't remembered.
func (a *answers) find(work uint64) time.Time {
	if a.slots == nil {
		return time.Time{}
	}
	if s := a.slots[work%answersSize]; s.work == work && s.at != 0 {
		return time.Unix(0, s.at)
	}
	return time.Time{}
}
