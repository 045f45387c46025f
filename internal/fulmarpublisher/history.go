package fulmarpublisher

// historySize is the number of recent versions for which a daemon gets only the differences.
const historySize = 32

// history is a ring buffer of the latest versions of a value.
type history[T any] struct {
	versions [historySize]int64
	values   [historySize]T
}

func (h *history[T]) add(version int64, value T) {
	h.versions[version%historySize], h.values[version%historySize] = version, value
}

// get returns the value of a version; ok is false if it has been overwritten. Versions begin with 1.
func (h *history[T]) get(version int64) (value T, ok bool) {
	if version <= 0 || h.versions[version%historySize] != version {
		return value, false
	}
	return h.values[version%historySize], true
}
