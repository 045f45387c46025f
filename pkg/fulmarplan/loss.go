package fulmarplan

import (
	"maps"
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// loss is a target that was reported as lost and has not come back.
type loss struct {
	marks map[uint64]bool // fingerprints to quarantine; true if condemned
	done  bool            // the table has shown the marks
}

// observeLosses follows which targets are lost.
func (s *step) observeLosses() {
	reported := map[string]bool{}
	for _, l := range s.in.Losses {
		if _, ok := s.table.Target(l.Target); ok {
			reported[l.Target] = true
			s.suspect(l)
		}
	}
	for _, t := range s.in.Targets {
		if reported[t.ID] {
			continue
		}
		if owned, _, _ := s.table.SlotCounts(t.ID); s.lost[t.ID] != nil && owned > 0 && s.others(t.ID) {
			continue // its slots have not begun to move
		}
		if l := s.lost[t.ID]; l != nil && !l.done && len(l.marks) > 0 {
			continue // the table has not shown its marks
		}
		delete(s.lost, t.ID)
		s.healthy[t.ID] = true
	}
}

// others reports whether another target of the service may get slots.
func (s *step) others(id string) bool {
	return slices.ContainsFunc(s.in.Targets, func(t fulmarslot.Target) bool {
		return t.ID != id && t.Service == s.targets[id].Service && !t.Leaving && s.lost[t.ID] == nil && !s.drained[t.ID]
	})
}

// suspect decides how a loss marks the work that ran there. A suspect of an earlier loss is condemned. A loss that is
// reported again after its slots began to move marks nothing new, and a planner that has only just taken over does not
// condemn for a target whose slots have nowhere to go, because the table may hold the marks of this very loss.
func (s *step) suspect(l Loss) {
	known := s.lost[l.Target]
	if known == nil {
		known = &loss{marks: map[uint64]bool{}}
		s.lost[l.Target] = known
		if s.handled(l.Target) {
			known.done = true
			return
		}
	}
	for _, f := range l.Suspects {
		if _, ok := known.marks[f]; ok || known.done && s.handled(l.Target) {
			continue
		}
		known.marks[f] = s.marked(l.Target, f) && (s.healthy[l.Target] || s.others(l.Target))
		known.done = false
	}
	delete(s.healthy, l.Target)
}

// handled reports whether a target owns no slot but those of forced moves.
func (s *step) handled(id string) bool {
	owned, away, _ := s.table.SlotCounts(id)
	if owned > 0 {
		return false
	}
	for at, m := range s.moves {
		if away > 0 && m.Owner == id && !m.Forced && at.service == s.targets[id].Service {
			return false
		}
	}
	return true
}

// marked reports whether the fingerprint is under suspicion already, by the table or by another loss.
func (s *step) marked(target string, fingerprint uint64) bool {
	for id, l := range s.lost {
		if _, ok := l.marks[fingerprint]; ok && id != target {
			return true
		}
	}
	return slices.ContainsFunc(s.table.Quarantined(), func(q fulmarslot.Quarantine) bool {
		return q.Fingerprint == fingerprint && q.Until.After(s.now)
	})
}

// quarantine lifts marks that ended and puts those of losses.
func (s *step) quarantine() {
	marks := map[uint64]fulmarslot.Quarantine{}
	for _, q := range s.table.Quarantined() {
		if slices.Contains(s.in.LiftFingerprints, q.Fingerprint) || s.passed(q.Until) {
			s.add("quarantine-lift", fulmarslot.RemoveQuarantine(q.Fingerprint))
			continue
		}
		marks[q.Fingerprint] = q
	}
	for _, id := range slices.Sorted(maps.Keys(s.lost)) {
		s.mark(s.lost[id], marks)
	}
}

// mark puts the marks of a loss until the table has shown them.
func (s *step) mark(l *loss, marks map[uint64]fulmarslot.Quarantine) {
	if l.done {
		return
	}
	l.done = true
	for _, f := range slices.Sorted(maps.Keys(l.marks)) {
		have, ok := marks[f]
		if ok && (have.Condemned || !l.marks[f]) || slices.Contains(s.in.LiftFingerprints, f) {
			continue
		}
		l.done = false
		if !ok && len(marks) >= maxMarks && !s.evict(marks) {
			continue
		}
		q := fulmarslot.Quarantine{Fingerprint: f, Condemned: l.marks[f], Until: s.now.Add(s.policy.QuarantineTTL)}
		marks[f] = q
		s.add("quarantine-put", fulmarslot.PutQuarantine(q))
	}
}

// maxMarks is the most fingerprints that a table holds.
const maxMarks = 128

// evict lifts the suspect that ends first; condemned marks stay.
func (s *step) evict(marks map[uint64]fulmarslot.Quarantine) bool {
	var first *fulmarslot.Quarantine
	for _, q := range s.table.Quarantined() {
		if _, ok := marks[q.Fingerprint]; ok && !q.Condemned && (first == nil || q.Until.Before(first.Until)) {
			first = &q
		}
	}
	if first == nil {
		return false
	}
	delete(marks, first.Fingerprint)
	s.add("quarantine-evict", fulmarslot.RemoveQuarantine(first.Fingerprint))
	return true
}

// losses starts forced moves of all slots of the lost targets, and gives forced moves to a lost target another one.
func (s *step) losses() {
	for _, service := range s.table.Services() {
		var slots []int
		for slot, a := range s.table.MovingSlots(service) {
			if s.lost[a.Owner] != nil && !a.Forced || s.lost[a.Next] != nil && a.Forced {
				s.force(place{service, slot}, a, &slots)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(s.lost)) {
			if s.targets[id].Service != service {
				continue
			}
			slots = s.table.OwnedBy(slots, id)
		}
		s.spread(service, slots)
	}
}

// force makes a cooperative move of a lost target forced; a move to a lost target is appended to slots.
func (s *step) force(at place, a fulmarslot.Assignment, slots *[]int) {
	switch {
	case s.claimed[at]:
	case !s.ready(a.Next):
		*slots = append(*slots, at.slot)
	default:
		s.claim(at)
		s.add("move-forced", fulmarslot.Move(at.service, at.slot, a.Next, true))
	}
}

// spread starts forced moves of the slots to the targets with the fewest slots.
func (s *step) spread(service string, slots []int) {
	if len(slots) == 0 {
		return
	}
	spreader := s.newSpreader(service)
	for _, slot := range spreader.heaviest(slots) {
		at := place{service, slot}
		a := s.table.Assignment(service, slot)
		to, ok := spreader.next(slot, a.Owner)
		if !ok || !s.claim(at) {
			continue
		}
		s.share[to]++
		if a.Next != "" {
			s.share[a.Next]--
		} else {
			s.share[a.Owner]--
		}
		s.add("move-forced", fulmarslot.Move(service, at.slot, to, true))
	}
}
