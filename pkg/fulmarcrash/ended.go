package fulmarcrash

import "github.com/fulmarbend/fulmarbend/pkg/fulmarrange"

// endedTargets is an index of the targets in the records of a board: each answer of a target asks for it, and there may be a thousand
// records.
type endedTargets struct {
	generation int64 // of the board, at which targets was made
	targets    map[fulmarrange.Incarnation]bool
}

// has reports whether a target is in one of the records, which are those of the given generation.
func (x *endedTargets) has(target fulmarrange.Incarnation, generation int64, entries map[uint64]entry) bool {
	if x.targets == nil || x.generation != generation {
		x.generation, x.targets = generation, make(map[fulmarrange.Incarnation]bool)
		for _, e := range entries {
			for _, c := range e.Crashes {
				x.targets[c.Target] = true
			}
		}
	}
	return x.targets[target]
}
