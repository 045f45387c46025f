package fulmarplan

import (
	"slices"
)

// leaves reports whether a target is to own nothing, and is not lost.
func (s *step) leaves(id string) bool {
	return s.lost[id] == nil && (s.targets[id].Leaving || s.drained[id])
}

// fill moves slots to targets that have joined, at most the number that makes their share even.
func (s *step) fill() {
	for _, service := range s.table.Services() {
		ids := s.usable[service]
		if len(ids) < 2 {
			continue
		}
		total := 0
		for _, id := range ids {
			total += s.share[id]
		}
		for _, id := range ids {
			if s.joins(service, id, total/len(ids)) {
				s.fillOne(service, id, total/len(ids))
			}
		}
	}
}

// joins reports whether a target has joined and is to get slots: it starts below half of an even share, because
// balance by load makes shares uneven, and goes on until its share is even or its load is the mean.
func (s *step) joins(service, id string, fair int) bool {
	l := s.loads[service]
	light := l.mean == 0 || l.target[id] < l.mean
	if 2*s.share[id] < fair || s.share[id] == 0 {
		light = light && 2*l.target[id] <= l.mean
		s.filling[id] = s.filling[id] || light
	}
	if s.share[id] >= fair || !light {
		delete(s.filling, id)
	}
	return s.filling[id]
}

// fillOne moves slots from the targets with the most slots to one that has joined.
func (s *step) fillOne(service, id string, fair int) {
	l := s.loads[service]
	donors := slices.Clone(s.usable[service])
	slices.SortStableFunc(donors, func(a, b string) int { return s.share[b] - s.share[a] })
	for _, donor := range donors {
		if s.share[donor] <= fair || s.share[id] >= fair || s.moving >= s.policy.MaxMoving {
			return
		}
		for _, slot := range s.table.OwnedBy(nil, donor) {
			if s.share[id] >= fair || s.share[donor] <= fair {
				break
			}
			rate := l.rate[slot]
			if l.mean > 0 && l.target[id]+rate > l.mean || !s.moveForBalance(place{service, slot}, donor, id, "fill") {
				continue
			}
			l.target[id] += rate
			l.target[donor] -= rate
		}
	}
}
