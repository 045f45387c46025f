package fulmarplan

import (
	"maps"
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrank"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// services adds the services of the configuration.
func (s *step) services() {
	for _, name := range slices.Sorted(maps.Keys(s.in.Services)) {
		if s.table.Slots(name) == 0 && s.in.Services[name] > 0 {
			s.add("service-add", fulmarslot.AddService(name, s.in.Services[name]))
		}
	}
}

// planTargets adds targets, updates what they report and chooses dispatchers.
func (s *step) planTargets() {
	for _, t := range s.in.Targets {
		s.report(t)
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		before, ok := s.table.Target(id)
		if ok && s.vanished(id) {
			delete(s.targets, id)
			delete(s.lost, id)
			delete(s.absent, id)
			s.add("target-remove", fulmarslot.RemoveTarget(id))
			continue
		}
		if ok && !t.Fenced {
			t.Dispatcher = s.dispatcher(t)
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

// vanished reports whether a target that owns and awaits nothing has not been reported for Policy.Down.
func (s *step) vanished(id string) bool {
	owned, away, incoming := s.table.SlotCounts(id)
	if s.reported[id] || owned+away+incoming > 0 {
		delete(s.absent, id)
		return false
	}
	if _, ok := s.absent[id]; !ok {
		s.absent[id] = s.now
	}
	return s.passed(s.absent[id].Add(s.policy.DownTimeout))
}

// report takes over what a target reports of itself.
func (s *step) report(t fulmarslot.Target) {
	if s.table.Slots(t.Service) == 0 && s.in.Services[t.Service] <= 0 {
		return
	}
	t.Dispatcher = ""
	before, ok := s.table.Target(t.ID)
	if ok && before.Service != t.Service {
		if owned, away, incoming := s.table.SlotCounts(t.ID); owned+away+incoming > 0 {
			return
		}
	}
	if !t.Fenced {
		t.Dispatcher = before.Dispatcher
		if !ok { // a new target has no orders yet, so its first dispatcher needs no wait
			t.Dispatcher = s.rank(t)
		}
	}
	s.targets[t.ID] = t
}

// dispatcher returns the dispatcher of a target that checks no fence. A dispatcher that is down is
// removed in one epoch, and the next one is set when nothing of the former one can be in force.
func (s *step) dispatcher(t fulmarslot.Target) string {
	if t.Dispatcher != "" {
		if s.serves(t.Dispatcher) {
			return t.Dispatcher
		}
		return ""
	}
	before, _ := s.table.Target(t.ID)
	if since, ok := s.cleared[t.ID]; ok && before.Dispatcher == "" && s.expired(since, s.policy.OrderTimeout) {
		return s.rank(t)
	}
	return ""
}

// serves reports whether the incarnation of a member that the roster lists is heard. Another one has forgotten which
// orders it sent.
func (s *step) serves(id string) bool {
	l, ok := s.live[id]
	return ok && slices.ContainsFunc(s.table.Roster(), func(m fulmarslot.Member) bool {
		return m.ID == id && m.Incarnation == l.Incarnation
	})
}

// rank returns the best live member of the roster for the target.
func (s *step) rank(t fulmarslot.Target) string {
	var candidates []fulmarrank.Member
	for _, m := range s.table.Roster() {
		if s.serves(m.ID) {
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

// findUsable lists for each service the targets that may get slots.
func (s *step) findUsable() {
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		if s.reported[id] && !t.Leaving && s.lost[id] == nil && !s.drained[id] {
			s.usable[t.Service] = append(s.usable[t.Service], id)
		}
	}
}

// ready reports whether a target may get slots.
func (s *step) ready(id string) bool {
	_, ok := slices.BinarySearch(s.usable[s.targets[id].Service], id)
	return ok
}
