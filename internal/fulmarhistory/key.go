package fulmarhistory

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

type serviceKey struct{ service, key string }

// execution is a run of an order that had an effect.
type execution struct {
	span
	slot  int
	epoch uint64 // of the grant in force at the commit, zero without a fence
}

// keys returns the keys that two targets worked on at one moment, or that
// changed their target without a newer epoch. The rule does not depend on slot
// numbers, so that it covers a key that has a slot of its own on one target
// and is still served by its plain slot on another.
func keys(events []Event) []string {
	byKey := executions(events)
	var out []string
	sorted := slices.SortedFunc(maps.Keys(byKey), func(a, b serviceKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.key, b.key))
	})
	for _, k := range sorted {
		if text := conflict(byKey[k]); text != "" {
			out = append(out, fmt.Sprintf("%s %s: %s", k.service, k.key, text))
		}
	}
	return out
}

// executions returns the committed executions of each key, and the aborted ones
// of targets that check no fence, where nothing undoes an execution.
func executions(events []Event) map[serviceKey][]execution {
	type run struct {
		target string
		serial uint64
	}
	out, begun, epochs := map[serviceKey][]execution{}, map[run]Event{}, map[string]uint64{}
	for _, e := range events {
		r := run{e.Target, e.Serial}
		switch e.Kind {
		case KindUp:
			epochs[e.Target] = 0
		case KindGrant:
			epochs[e.Target] = e.Epoch
		case KindStart:
			begun[r] = e
		case KindCommit, KindAbort:
			if s, ok := begun[r]; ok && s.Key != "" && (e.Kind == KindCommit || !e.Fenced) {
				k := serviceKey{s.Service, s.Key}
				out[k] = append(out[k], execution{span{e.Target, s.UnixNanos, e.UnixNanos}, s.Slot, epochs[e.Target]})
			}
			delete(begun, r)
		}
	}
	return out
}

// conflict describes the first two executions of one key that two owners explain.
func conflict(list []execution) string {
	slices.SortFunc(list, func(a, b execution) int { return cmp.Compare(a.from, b.from) })
	last := map[string]execution{} // by target: the one that ended last
	for _, b := range list {
		for _, target := range slices.Sorted(maps.Keys(last)) {
			a := last[target]
			if target == b.target {
				continue
			}
			if b.from < a.to {
				return fmt.Sprintf("%s (slot %d) and %s (slot %d) for %v",
					a.target, a.slot, b.target, b.slot, time.Duration(min(a.to, b.to)-b.from))
			}
			if a.epoch != 0 && b.epoch != 0 && b.epoch <= a.epoch {
				return fmt.Sprintf("%s (slot %d, epoch %d) after %s (slot %d, epoch %d)",
					b.target, b.slot, b.epoch, a.target, a.slot, a.epoch)
			}
		}
		if a, ok := last[b.target]; !ok || b.to > a.to {
			last[b.target] = b
		}
	}
	return ""
}

// ungranted returns the starts and commits of fenced targets that no grant of
// the target covers. An order may outlive its term, so only its start needs it.
func ungranted(events []Event) []string {
	held := map[string]Event{}
	var out []string
	for _, e := range events {
		if !e.Fenced {
			continue
		}
		switch e.Kind {
		case KindUp:
			delete(held, e.Target)
		case KindGrant:
			held[e.Target] = e
		case KindStart, KindCommit:
			g, ok := held[e.Target]
			if !ok {
				g.Lapse = math.MinInt64
			}
			if e.UnixNanos >= g.Lapse || !slices.Contains(g.Slots, e.Slot) || e.Kind == KindStart && e.Term != g.Term {
				out = append(out, fmt.Sprintf("%s of %s by %s in slot %d, term %d, without a grant", e.Kind, e.ID, e.Target, e.Slot, e.Term))
			}
		}
	}
	return out
}
