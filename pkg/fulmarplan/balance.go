package fulmarplan

import (
	"slices"
)

// leaves reports whether a target is to own nothing, and is not lost.
func (s *step) leaves(id string) bool {
	return s.lost[id] == nil && (s.targets[id].Leaving || slices.Contains(s.in.Drain, id))
}

// loads is the smoothed load of a service.
type loads struct{}

func (s *step) observeLoads() {}

// fill moves slots to targets that have joined, at most the number that makes their share even.
func (s *step) fill() {
	for _, service := range s.table.Services() {
		ids := s.usable[service]
		if len(ids) < 2 || s.moving >= s.policy.Moving {
			continue
		}
		total := 0
		for _, id := range ids {
			total += s.share[id]
		}
		fair := total / len(ids)
		for _, id := range ids {
			if s.joins(service, id, fair) {
				s.fillOne(service, id, fair)
			}
		}
	}
}

// joins reports whether a target has too few slots to have its share.
func (s *step) joins(_, id string, fair int) bool { return s.share[id] < fair }

// fillOne moves slots from the targets with the most slots to one that has joined.
func (s *step) fillOne(service, id string, fair int) {
	donors := slices.Clone(s.usable[service])
	slices.SortStableFunc(donors, func(a, b string) int { return s.share[b] - s.share[a] })
	for _, donor := range donors {
		if s.share[donor] <= fair {
			return
		}
		for _, slot := range s.table.OwnedBy(nil, donor) {
			if s.share[id] >= fair || s.share[donor] <= fair || s.moving >= s.policy.Moving {
				break
			}
			s.cooperate(place{service, slot}, donor, id, "fill")
		}
	}
}

func (s *step) balance() {}
