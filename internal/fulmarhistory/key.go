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

// execution is an execution of an order that had an effect.
type execution struct {
	ownershipInterval
	slot  int
	epoch uint64 // of the current grant at the commit; zero for unfenced targets
}

// keyOwnerConflicts returns the keys that two targets executed orders for at the
// same time, or that changed their target without a newer epoch. It ignores slot
// numbers, so that it also finds a key that has a dedicated slot on one target and
// is still served through its plain slot on another.
func keyOwnerConflicts(events []Event) []string {
	byKey := executions(events)
	var out []string
	sorted := slices.SortedFunc(maps.Keys(byKey), func(a, b serviceKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.key, b.key))
	})
	for _, k := range sorted {
		if text := describeConflict(byKey[k]); text != "" {
			out = append(out, fmt.Sprintf("%s %s: %s", k.service, k.key, text))
		}
	}
	return out
}

// executions returns the committed executions of each key, and the aborted ones of
// unfenced targets, because an unfenced target does not undo an aborted execution.
func executions(events []Event) map[serviceKey][]execution {
	type executionID struct {
		target string
		serial uint64
	}
	out, starts, epochs := map[serviceKey][]execution{}, map[executionID]Event{}, map[string]uint64{}
	for _, e := range events {
		id := executionID{e.Target, e.Serial}
		switch e.Kind {
		case KindUp:
			epochs[e.Target] = 0
		case KindGrant:
			epochs[e.Target] = e.Epoch
		case KindStart:
			starts[id] = e
		case KindCommit, KindAbort:
			if s, ok := starts[id]; ok && s.Key != "" && (e.Kind == KindCommit || !e.Fenced) {
				k := serviceKey{s.Service, s.Key}
				out[k] = append(out[k], execution{ownershipInterval{e.Target, s.UnixNanos, e.UnixNanos}, s.Slot, epochs[e.Target]})
			}
			delete(starts, id)
		}
	}
	return out
}

// describeConflict describes the first two executions of one key that show two
// owners, or returns an empty string.
func describeConflict(list []execution) string {
	slices.SortFunc(list, func(a, b execution) int { return cmp.Compare(a.from, b.from) })
	last := map[string]execution{} // by target: the execution that ended last
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

// ungrantedExecutions returns the starts and commits of fenced targets that are
// not covered by a grant of the target. The term must match only at the start,
// because an order may still be running when its term ends.
func ungrantedExecutions(events []Event) []string {
	grants := map[string]Event{}
	var out []string
	for _, e := range events {
		if !e.Fenced {
			continue
		}
		switch e.Kind {
		case KindUp:
			delete(grants, e.Target)
		case KindGrant:
			grants[e.Target] = e
		case KindStart, KindCommit:
			g, ok := grants[e.Target]
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
