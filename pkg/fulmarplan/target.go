package fulmarplan

import (
	"maps"
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrank"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// addServices adds configured services that are missing from the table.
func (s *step) addServices() {
	for _, name := range slices.Sorted(maps.Keys(s.in.Services)) {
		if s.table.Slots(name) == 0 && s.in.Services[name] > 0 {
			s.add("service-add", fulmarslot.AddService(name, s.in.Services[name]))
		}
	}
}

// planTargets adds, updates and removes targets and selects their dispatchers.
func (s *step) planTargets() {
	for _, t := range s.in.Targets {
		s.updateReported(t)
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		before, ok := s.table.Target(id)
		if ok && s.isGone(id) {
			delete(s.targets, id)
			delete(s.lostTargets, id)
			delete(s.absentSince, id)
			s.add("target-remove", fulmarslot.RemoveTarget(id))
			continue
		}
		if ok && !t.Fenced {
			t.Dispatcher = s.nextDispatcher(t)
			s.targets[id] = t
		}
		switch {
		case !ok:
			s.add("target-add", fulmarslot.PutTarget(t))
		case t.Dispatcher != before.Dispatcher:
			s.add("target-dispatcher", fulmarslot.PutTarget(t))
		case t != before:
			s.add("target-update", fulmarslot.PutTarget(t))
		}
	}
}

// isGone reports whether a target that owns no slots and awaits none has been unreported for Policy.DownTimeout.
func (s *step) isGone(id string) bool {
	owned, outgoing, incoming := s.table.SlotCounts(id)
	if s.reportedTargets[id] || owned+outgoing+incoming > 0 {
		delete(s.absentSince, id)
		return false
	}
	if _, ok := s.absentSince[id]; !ok {
		s.absentSince[id] = s.now
	}
	return s.reached(s.absentSince[id].Add(s.policy.DownTimeout))
}

// updateReported records the reported properties of a target, unless its service is unknown, or has changed while the
// target still owns slots or awaits some.
func (s *step) updateReported(t fulmarslot.Target) {
	if s.table.Slots(t.Service) == 0 && s.in.Services[t.Service] <= 0 {
		return
	}
	t.Dispatcher = ""
	before, ok := s.table.Target(t.ID)
	if ok && before.Service != t.Service {
		if owned, outgoing, incoming := s.table.SlotCounts(t.ID); owned+outgoing+incoming > 0 {
			return
		}
	}
	if !t.Fenced {
		t.Dispatcher = before.Dispatcher
		if !ok { // a new target has no orders yet, so its first dispatcher can start at once
			t.Dispatcher = s.selectDispatcher(t)
		}
	}
	s.targets[t.ID] = t
}

// nextDispatcher returns the dispatcher of a target without fencing. A dispatcher that is down is
// removed first. The next one is set in a later epoch, once all orders of the former one have expired.
func (s *step) nextDispatcher(t fulmarslot.Target) string {
	if t.Dispatcher != "" {
		if s.isListedAndLive(t.Dispatcher) {
			return t.Dispatcher
		}
		return ""
	}
	before, _ := s.table.Target(t.ID)
	if since, ok := s.noDispatcherSince[t.ID]; ok && before.Dispatcher == "" && s.effectsExpired(since, s.policy.OrderTimeout) {
		return s.selectDispatcher(t)
	}
	return ""
}

// isListedAndLive reports whether the incarnation of a member that the roster lists is live. A newer incarnation does not
// know which orders the former one sent.
func (s *step) isListedAndLive(id string) bool {
	l, ok := s.liveMembers[id]
	return ok && slices.ContainsFunc(s.table.Roster(), func(m fulmarslot.Member) bool {
		return m.ID == id && m.Incarnation == l.Incarnation
	})
}

// selectDispatcher returns the live member of the roster that ranks first for the target.
func (s *step) selectDispatcher(t fulmarslot.Target) string {
	var candidates []fulmarrank.Member
	for _, m := range s.table.Roster() {
		if s.isListedAndLive(m.ID) {
			candidates = append(candidates, fulmarrank.Member{ID: m.ID, DataCentre: m.DataCentre})
		}
	}
	if len(s.table.Roster()) == 0 {
		for _, m := range s.sortedLive() {
			candidates = append(candidates, fulmarrank.Member{ID: m.ID, DataCentre: m.DataCentre})
		}
	}
	id, _ := fulmarrank.New(candidates).First(t.ID, t.DataCentre)
	return id
}

// findUsable lists the targets of each service that may receive slots.
func (s *step) findUsable() {
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		if s.reportedTargets[id] && !t.Leaving && s.lostTargets[id] == nil && !s.drainedTargets[id] {
			s.usableTargets[t.Service] = append(s.usableTargets[t.Service], id)
		}
	}
}

// isUsable reports whether a target may receive slots.
func (s *step) isUsable(id string) bool {
	_, ok := slices.BinarySearch(s.usableTargets[s.targets[id].Service], id)
	return ok
}
