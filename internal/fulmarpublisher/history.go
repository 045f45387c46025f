package fulmarpublisher

import (
	"cmp"
	"slices"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
)

// historySize is the number of recent versions for which a daemon gets only the differences.
const historySize = 32

// history holds what each of the latest versions of a value has changed. Whole values would take tens of megabytes: a catalog of
// 3,000 targets has one.
type history[T any] struct {
	first    int64 // version that the changes follow
	versions [historySize]int64
	changes  [historySize]T
}

// start drops all changes: the next ones follow a version.
func (h *history[T]) start(version int64) { *h = history[T]{first: version} }

// add records what differs between a version and the one before.
func (h *history[T]) add(version int64, change T) {
	h.versions[version%historySize], h.changes[version%historySize] = version, change
}

// between returns the changes that lead from one version to another; ok is false if they are not known any more. Versions begin
// with 1.
func (h *history[T]) between(old, latest int64) (changes []T, ok bool) {
	if old < max(h.first, 1) || old > latest || latest-old > historySize {
		return nil, false
	}
	for version := old + 1; version <= latest; version++ {
		if h.versions[version%historySize] != version {
			return nil, false
		}
		changes = append(changes, h.changes[version%historySize])
	}
	return changes, true
}

// union returns the ids that occur in any of the lists, each once.
func union(lists [][]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

// owners are the spans of the services.
type owners map[string]fulmarview.Spans

// changedSince returns the spans that differ from those of old.
func (o owners) changedSince(old owners) owners {
	out := make(owners)
	for name, spans := range o {
		if changes := spans.Diff(old[name]); len(changes) > 0 {
			out[name] = changes
		}
	}
	return out
}

// where returns the spans of all keys that any of the changes has changed.
func (o owners) where(changes []owners) owners {
	ranges := make(owners)
	for _, change := range changes {
		for name, spans := range change {
			ranges[name] = append(ranges[name], spans...)
		}
	}
	out := make(owners, len(ranges))
	for name, changed := range ranges {
		slices.SortFunc(changed, func(a, b fulmarview.Span) int { return cmp.Compare(a.From, b.From) })
		var spans fulmarview.Spans
		next := 0 // key after the last one of spans
		for _, r := range changed {
			if r.To >= next {
				spans = o[name].Between(spans, max(r.From, next), r.To)
				next = r.To + 1
			}
		}
		if len(spans) > 0 {
			out[name] = spans
		}
	}
	return out
}
