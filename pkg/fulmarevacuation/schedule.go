package fulmarevacuation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Schedule spreads the handover of the keys of a data centre over a time.
type Schedule struct {
	Time time.Duration // after the begin of the evacuation, by which all keys have been given to other targets
	Step time.Duration // between two decisions
}

// Holder is an evacuated target that still owns keys.
type Holder struct {
	Target fulmarrange.Incarnation
	Rate   float64       // requests per second for its keys
	For    time.Duration // upper bound of the time for which it has been evacuated
}

// Due returns the holders of one data centre that hand over their keys in this step, those with the highest rate first.
// They carry an equal part of the load for each step that is left; it is exceeded only by the last one of them, as
// the keys of a target leave together.
func (s Schedule) Due(holders []Holder) []fulmarrange.Incarnation {
	if len(holders) == 0 {
		return nil
	}
	order := slices.Clone(holders)
	slices.SortFunc(order, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	total, longest := 0.0, time.Duration(0)
	for _, h := range order {
		total += h.Rate
		longest = max(longest, h.For)
	}
	steps := max(1, math.Floor(float64(s.Time-longest)/float64(s.Step)))
	// Targets without load leave in equal numbers.
	atLeast := int(math.Ceil(float64(len(order)) / steps))
	part, moved := total/steps, 0.0
	var due []fulmarrange.Incarnation
	for i, h := range order {
		if steps > 1 && moved >= part && (part > 0 || i >= atLeast) {
			break
		}
		due = append(due, h.Target)
		moved += h.Rate
	}
	return due
}
