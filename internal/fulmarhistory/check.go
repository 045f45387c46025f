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

// Report lists the violations of each rule; empty lists mean that the rules held.
type Report struct {
	DuplicateExecutions []string
	RefusedExecutions   []string
	InvalidAnswers      []string
	SlotOwnerConflicts  []string
	KeyOwnerConflicts   []string
	UngrantedExecutions []string
}

// OK reports whether all rules held.
func (r Report) OK() bool { return len(r.Violations()) == 0 }

// Violations returns all violations, each with the name of its rule.
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

// Check applies the rules to the events of the targets and the callers' log.
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
		DuplicateExecutions: doubled(calls, starts, commits),
		RefusedExecutions:   refusedRan(attempts, starts),
		InvalidAnswers:      broken(calls, commits),
		SlotOwnerConflicts:  owners(events),
		KeyOwnerConflicts:   keys(events),
		UngrantedExecutions: ungranted(events),
	}
}

func sortedIDs[V any](byID map[string]V) []string { return slices.Sorted(maps.Keys(byID)) }

// doubled judges all ids of a service that a call names as at most once, also
// those of callers that did not live to write their log.
func doubled(calls []Call, starts, commits map[string][]Event) []string {
	once := map[string]bool{}
	for _, c := range calls {
		once[c.Service] = once[c.Service] || c.AtMostOnce
	}
	var out []string
	for _, id := range sortedIDs(starts) {
		if id != "" && once[starts[id][0].Service] && (len(starts[id]) > 1 || len(commits[id]) > 1) {
			var targets []string
			for _, e := range starts[id] {
				targets = append(targets, e.Target)
			}
			out = append(out, fmt.Sprintf("%s: %d starts by %v, %d commits", id, len(starts[id]), targets, len(commits[id])))
		}
	}
	return out
}

// clockError is the difference between the clocks of two processes of one
// machine that the rules allow for: a target counts from its start by the
// monotonic clock, a caller reads the wall clock, which is adjusted meanwhile.
const clockError = int64(time.Millisecond)

func refusedRan(attempts map[string][]Call, starts map[string][]Event) []string {
	var out []string
	for _, id := range sortedIDs(attempts) {
		for _, s := range starts[id] {
			explained := slices.ContainsFunc(attempts[id], func(c Call) bool {
				return c.Outcome != notRun && c.Start <= s.UnixNanos+clockError
			})
			if !explained {
				out = append(out, fmt.Sprintf("%s: started by %s after only not-run answers", id, s.Target))
			}
		}
	}
	return out
}

func broken(calls []Call, commits map[string][]Event) []string {
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

// span is a time in which a target owns a slot.
type span struct {
	target   string
	from, to int64
}

// owners returns the slots that two targets own at one moment.
func owners(events []Event) []string {
	spans := grantSpans(events)
	for k, s := range executionSpans(events) {
		spans[k] = append(spans[k], s...)
	}
	var out []string
	keys := slices.SortedFunc(maps.Keys(spans), func(a, b slotKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.slot, b.slot))
	})
	for _, k := range keys {
		if s := merge(spans[k]); !linearizable(s) {
			out = append(out, fmt.Sprintf("%s slot %d: %s", k.service, k.slot, overlap(s)))
		}
	}
	return out
}

// grantSpans returns the time that the grants of fenced targets cover.
func grantSpans(events []Event) map[slotKey][]span {
	spans := map[slotKey][]span{}
	last := map[string]Event{}
	end := func(target string, at int64) {
		g, ok := last[target]
		if to := min(at, g.Lapse); ok && to > g.UnixNanos {
			for _, slot := range g.Slots {
				k := slotKey{g.Service, slot}
				spans[k] = append(spans[k], span{target, g.UnixNanos, to})
			}
		}
		delete(last, target)
	}
	for _, e := range events {
		if !e.Fenced || (e.Kind != KindGrant && e.Kind != KindUp) {
			continue
		}
		end(e.Target, e.UnixNanos)
		if e.Kind == KindGrant {
			last[e.Target] = e
		}
	}
	for _, target := range slices.Sorted(maps.Keys(last)) {
		end(target, math.MaxInt64)
	}
	return spans
}

// executionSpans returns the time in which targets that check no fence ran
// orders. An execution without an end is left out, because its process was lost.
func executionSpans(events []Event) map[slotKey][]span {
	type run struct {
		target string
		serial uint64
	}
	spans, begun := map[slotKey][]span{}, map[run]Event{}
	for _, e := range events {
		if e.Fenced {
			continue
		}
		r := run{e.Target, e.Serial}
		switch e.Kind {
		case KindStart:
			begun[r] = e
		case KindCommit, KindAbort:
			if s, ok := begun[r]; ok {
				k := slotKey{s.Service, s.Slot}
				spans[k] = append(spans[k], span{e.Target, s.UnixNanos, e.UnixNanos})
			}
		}
	}
	return spans
}

// merge joins the touching spans of each target, so that each of its spans is
// one acquisition and one release.
func merge(spans []span) []span {
	slices.SortFunc(spans, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.from, b.from))
	})
	var out []span
	for _, s := range spans {
		if n := len(out); n > 0 && out[n-1].target == s.target && s.from <= out[n-1].to {
			out[n-1].to = max(out[n-1].to, s.to)
			continue
		}
		out = append(out, s)
	}
	return out
}

type ownership struct {
	target  string
	release bool
}

var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(ownership)
		if op.release {
			return state == op.target, ""
		}
		return state == "", op.target
	},
}

// linearizable reports whether the spans are a history of one owner at a time.
// An acquisition or release takes effect at one instant; a release may share
// its instant with the next acquisition.
func linearizable(spans []span) bool {
	var ops []porcupine.Operation
	for i, s := range spans {
		ops = append(
			ops,
			porcupine.Operation{ClientId: i, Input: ownership{s.target, false}, Call: s.from, Return: s.from},
			porcupine.Operation{ClientId: i, Input: ownership{s.target, true}, Call: s.to, Return: s.to},
		)
	}
	return porcupine.CheckOperations(register, ops)
}

// overlap describes the first two spans of different targets that share a moment.
func overlap(spans []span) string {
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if b.from < a.to && a.target != b.target {
				return fmt.Sprintf("%s and %s for %v", a.target, b.target, time.Duration(min(a.to, b.to)-b.from))
			}
		}
	}
	return "not a history of one owner"
}
