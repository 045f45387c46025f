package fulmarplan

import (
	"slices"
)

// isLeaving reports whether a target is leaving or being drained, and is not lost.
func (s *step) isLeaving(id string) bool {
	return s.lostTargets[id] == nil && (s.targets[id].Leaving || s.drainedTargets[id])
}

// fillJoinedTargets moves slots to newly joined targets, up to an even share for each.
func (s *step) fillJoinedTargets() {
	for _, service := range s.table.Services() {
		ids := s.usableTargets[service]
		if len(ids) < 2 {
			continue
		}
		total := 0
		for _, id := range ids {
			total += s.slotCount[id]
		}
		for _, id := range ids {
			if s.needsSlots(service, id, total/len(ids)) {
				s.fillTarget(service, id, total/len(ids))
			}
		}
	}
}

// needsSlots reports whether a target has joined and should receive slots. Filling starts below half of an even share,
// because rebalancing by load makes shares uneven, and ends when the share is even or the load reaches the mean.
func (s *step) needsSlots(service, id string, fair int) bool {
	l := s.loads[service]
	light := l.meanRate == 0 || l.targetRate[id] < l.meanRate
	if 2*s.slotCount[id] < fair || s.slotCount[id] == 0 {
		light = light && 2*l.targetRate[id] <= l.meanRate
		s.filling[id] = s.filling[id] || light
	}
	if s.slotCount[id] >= fair || !light {
		delete(s.filling, id)
	}
	return s.filling[id]
}

// fillTarget moves slots from the targets with the most slots to a joined target.
func (s *step) fillTarget(service, id string, fair int) {
	l := s.loads[service]
	donors := slices.Clone(s.usableTargets[service])
	slices.SortStableFunc(donors, func(a, b string) int { return s.slotCount[b] - s.slotCount[a] })
	for _, donor := range donors {
		if s.slotCount[donor] <= fair || s.slotCount[id] >= fair || s.movingCount >= s.policy.MaxMoving {
			return
		}
		for _, slot := range s.table.OwnedBy(nil, donor) {
			if s.slotCount[id] >= fair || s.slotCount[donor] <= fair {
				break
			}
			rate := l.rate[slot]
			if l.meanRate > 0 && l.targetRate[id]+rate > l.meanRate || !s.moveForBalance(slotRef{service, slot}, donor, id, "fill") {
				continue
			}
			l.targetRate[id] += rate
			l.targetRate[donor] -= rate
		}
	}
}
