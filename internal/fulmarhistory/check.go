package fulmarhistory

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const served, notRun = "served", "not-run"

// Report lists the violations of each rule. Each list belongs to one rule of the
// package documentation, in the same order, and is empty if the rule holds.
type Report struct {
	DuplicateExecutions []string
	RefusedExecutions   []string
	InvalidAnswers      []string
	SlotOwnerConflicts  []string
	KeyOwnerConflicts   []string
	UngrantedExecutions []string
}

// OK reports whether no rule is violated.
func (r Report) OK() bool { return len(r.Violations()) == 0 }

// Violations returns all violations, each prefixed with the name of its rule.
func (r Report) Violations() []string {
	var out []string
	for _, rule := range []struct {
		name       string
		violations []string
	}{
		{"doubled", r.DuplicateExecutions},
		{"refused-ran", r.RefusedExecutions},
		{"broken", r.InvalidAnswers},
		{"owners", r.SlotOwnerConflicts},
		{"keys", r.KeyOwnerConflicts},
		{"unfenced", r.UngrantedExecutions},
	} {
		for _, v := range rule.violations {
			out = append(out, rule.name+": "+v)
		}
	}
	return out
}

// Check applies all rules to the events of the targets and the calls in the callers' history.
func Check(events []Event, calls []Call) Report {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.UnixNanos, b.UnixNanos) })
	attempts := map[string][]Call{}
	for _, c := range calls {
		attempts[c.ID] = append(attempts[c.ID], c)
	}
	starts, commits := map[string][]Event{}, map[string][]Event{}
	for _, e := range events {
		switch e.Kind {
		case KindStart:
			starts[e.ID] = append(starts[e.ID], e)
		case KindCommit:
			commits[e.ID] = append(commits[e.ID], e)
		}
	}
	return Report{
		DuplicateExecutions: duplicateExecutions(calls, starts, commits),
		RefusedExecutions:   refusedExecutions(attempts, starts),
		InvalidAnswers:      invalidAnswers(calls, commits),
		SlotOwnerConflicts:  slotOwnerConflicts(events),
		KeyOwnerConflicts:   keyOwnerConflicts(events),
		UngrantedExecutions: ungrantedExecutions(events),
	}
}

func sortedIDs[V any](byID map[string]V) []string { return slices.Sorted(maps.Keys(byID)) }

// duplicateExecutions returns the request ids that an at-most-once service
// started or committed more than once. It covers all ids of such a service,
// including those of callers that were killed before they logged their call.
func duplicateExecutions(calls []Call, starts, commits map[string][]Event) []string {
	atMostOnce := map[string]bool{} // by service
	for _, c := range calls {
		atMostOnce[c.Service] = atMostOnce[c.Service] || c.AtMostOnce
	}
	var out []string
	for _, id := range sortedIDs(starts) {
		if id != "" && atMostOnce[starts[id][0].Service] && (len(starts[id]) > 1 || len(commits[id]) > 1) {
			var targets []string
			for _, e := range starts[id] {
				targets = append(targets, e.Target)
			}
			out = append(out, fmt.Sprintf("%s: %d starts by %v, %d commits", id, len(starts[id]), targets, len(commits[id])))
		}
	}
	return out
}

// clockTolerance is the clock difference that the rules allow between two
// processes on one machine. A target adds monotonic time to the wall-clock time
// of its start, while a caller reads the wall clock, which may be adjusted.
const clockTolerance = int64(time.Millisecond)

// refusedExecutions returns the executions that no attempt explains: every attempt
// that was sent before the start ended as not-run.
func refusedExecutions(attempts map[string][]Call, starts map[string][]Event) []string {
	var out []string
	for _, id := range sortedIDs(attempts) {
		for _, s := range starts[id] {
			explained := slices.ContainsFunc(attempts[id], func(c Call) bool {
				return c.Outcome != notRun && c.Start <= s.UnixNanos+clockTolerance
			})
			if !explained {
				out = append(out, fmt.Sprintf("%s: started by %s after only not-run answers", id, s.Target))
			}
		}
	}
	return out
}

// invalidAnswers returns the served calls whose answer has the wrong length, names
// another request, or has no commit before the end of the call.
func invalidAnswers(calls []Call, commits map[string][]Event) []string {
	var out []string
	for _, c := range calls {
		switch {
		case c.Outcome != served:
		case c.Length != c.WantLength:
			out = append(out, fmt.Sprintf("%s: %d of %d bytes", c.ID, c.Length, c.WantLength))
		case c.AnswerID != c.ID:
			out = append(out, fmt.Sprintf("%s: answer of request %q", c.ID, c.AnswerID))
		case len(commits[c.ID]) == 0:
			out = append(out, c.ID+": served without a commit")
		case commits[c.ID][0].UnixNanos > c.End:
			out = append(out, c.ID+": served before its commit")
		}
	}
	return out
}

type slotKey struct {
	service string
	slot    int
}

// ownershipInterval is a half-open interval, in wall-clock nanoseconds, in which a target owns a slot.
type ownershipInterval struct {
	target   string
	from, to int64
}

// slotOwnerConflicts returns the slots that two targets own at the same time.
func slotOwnerConflicts(events []Event) []string {
	intervals := grantIntervals(events)
	for k, s := range executionIntervals(events) {
		intervals[k] = append(intervals[k], s...)
	}
	var out []string
	keys := slices.SortedFunc(maps.Keys(intervals), func(a, b slotKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.slot, b.slot))
	})
	for _, k := range keys {
		if s := mergeIntervals(intervals[k]); !linearizable(s) {
			out = append(out, fmt.Sprintf("%s slot %d: %s", k.service, k.slot, describeOverlap(s)))
		}
	}
	return out
}

// grantIntervals returns the intervals covered by the grants of fenced targets.
func grantIntervals(events []Event) map[slotKey][]ownershipInterval {
	intervals := map[slotKey][]ownershipInterval{}
	grants := map[string]Event{} // current grant by target
	endGrant := func(target string, at int64) {
		g, ok := grants[target]
		if to := min(at, g.Lapse); ok && to > g.UnixNanos {
			for _, slot := range g.Slots {
				k := slotKey{g.Service, slot}
				intervals[k] = append(intervals[k], ownershipInterval{target, g.UnixNanos, to})
			}
		}
		delete(grants, target)
	}
	for _, e := range events {
		if !e.Fenced || (e.Kind != KindGrant && e.Kind != KindUp) {
			continue
		}
		endGrant(e.Target, e.UnixNanos)
		if e.Kind == KindGrant {
			grants[e.Target] = e
		}
	}
	for _, target := range slices.Sorted(maps.Keys(grants)) {
		endGrant(target, math.MaxInt64)
	}
	return intervals
}

// executionIntervals returns the intervals in which unfenced targets executed
// orders. An execution without an end is omitted, because its process was killed.
func executionIntervals(events []Event) map[slotKey][]ownershipInterval {
	type executionID struct {
		target string
		serial uint64
	}
	intervals, starts := map[slotKey][]ownershipInterval{}, map[executionID]Event{}
	for _, e := range events {
		if e.Fenced {
			continue
		}
		id := executionID{e.Target, e.Serial}
		switch e.Kind {
		case KindStart:
			starts[id] = e
		case KindCommit, KindAbort:
			if s, ok := starts[id]; ok {
				k := slotKey{s.Service, s.Slot}
				intervals[k] = append(intervals[k], ownershipInterval{e.Target, s.UnixNanos, e.UnixNanos})
			}
		}
	}
	return intervals
}

// mergeIntervals joins adjacent and overlapping intervals of each target, so that
// each resulting interval is one acquisition followed by one release.
func mergeIntervals(intervals []ownershipInterval) []ownershipInterval {
	slices.SortFunc(intervals, func(a, b ownershipInterval) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.from, b.from))
	})
	var out []ownershipInterval
	for _, s := range intervals {
		if n := len(out); n > 0 && out[n-1].target == s.target && s.from <= out[n-1].to {
			out[n-1].to = max(out[n-1].to, s.to)
			continue
		}
		out = append(out, s)
	}
	return out
}

// registerOperation is the acquisition or the release of a slot by a target.
type registerOperation struct {
	target    string
	isRelease bool
}

// ownerRegister models the owner of a slot; the empty string means no owner.
var ownerRegister = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(registerOperation)
		if op.isRelease {
			return state == op.target, ""
		}
		return state == "", op.target
	},
}

// linearizable reports whether the slot had at most one owner at any time. Each
// acquisition and release takes effect at one instant; a release may share its
// instant with the next acquisition.
func linearizable(intervals []ownershipInterval) bool {
	var ops []porcupine.Operation
	for i, s := range intervals {
		ops = append(
			ops,
			porcupine.Operation{ClientId: i, Input: registerOperation{s.target, false}, Call: s.from, Return: s.from},
			porcupine.Operation{ClientId: i, Input: registerOperation{s.target, true}, Call: s.to, Return: s.to},
		)
	}
	return porcupine.CheckOperations(ownerRegister, ops)
}

// describeOverlap describes the first two overlapping intervals of different targets.
func describeOverlap(intervals []ownershipInterval) string {
	slices.SortFunc(intervals, func(a, b ownershipInterval) int { return cmp.Compare(a.from, b.from) })
	for i, a := range intervals {
		for _, b := range intervals[i+1:] {
			if b.from < a.to && a.target != b.target {
				return fmt.Sprintf("%s and %s for %v", a.target, b.target, time.Duration(min(a.to, b.to)-b.from))
			}
		}
	}
	return "ownership history is not linearizable"
}
