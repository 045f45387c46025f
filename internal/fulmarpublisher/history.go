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

// changes holds what each of the latest versions of a set has changed. Whole sets would take tens of megabytes: a catalog of 3,000
// targets has one.
type changes struct {
	first int64 // version that the changes follow
	ids   history[[]string]
}

// start drops all changes: the next ones follow a version.
func (c *changes) start(version int64) { *c = changes{first: version} }

// add records the ids that differ between a version and the one before.
func (c *changes) add(version int64, ids []string) { c.ids.add(version, ids) }

// between returns the ids that may differ between two versions; ok is false if that is not known any more.
func (c *changes) between(old, latest int64) (ids map[string]bool, ok bool) {
	if old < max(c.first, 1) || old > latest || latest-old > historySize {
		return nil, false
	}
	n := 0
	for version := old + 1; version <= latest; version++ {
		list, known := c.ids.get(version)
		if !known {
			return nil, false
		}
		n += len(list)
	}
	ids = make(map[string]bool, n)
	for version := old + 1; version <= latest; version++ {
		list, _ := c.ids.get(version)
		for _, id := range list {
			ids[id] = true
		}
	}
	return ids, true
}
