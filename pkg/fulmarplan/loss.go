package fulmarplan

import (
	"maps"
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// loss is the state of a target that was reported lost and has not returned.
type loss struct {
	suspects map[uint64]bool // fingerprints to quarantine, true if condemned
	recorded bool            // whether the table holds the quarantine entries
}

// observeLosses updates which targets are lost.
func (s *step) observeLosses() {
	reported := map[string]bool{}
	for _, l := range s.in.Losses {
		if _, ok := s.table.Target(l.Target); ok {
			reported[l.Target] = true
			s.recordSuspects(l)
		}
	}
	for _, t := range s.in.Targets {
		if reported[t.ID] {
			continue
		}
		if owned, _, _ := s.table.SlotCounts(t.ID); s.lostTargets[t.ID] != nil && owned > 0 && s.hasAlternative(t.ID) {
			continue // its slots have not started to move
		}
		if l := s.lostTargets[t.ID]; l != nil && !l.recorded && len(l.suspects) > 0 {
			continue // the table does not hold its quarantine entries yet
		}
		delete(s.lostTargets, t.ID)
		s.seenHealthy[t.ID] = true
	}
}

// hasAlternative reports whether another target of the same service may receive slots.
func (s *step) hasAlternative(id string) bool {
	return slices.ContainsFunc(s.in.Targets, func(t fulmarslot.Target) bool {
		return t.ID != id && t.Service == s.targets[id].Service && !t.Leaving && s.lostTargets[t.ID] == nil && !s.drainedTargets[t.ID]
	})
}

// recordSuspects decides which fingerprints a loss quarantines. A suspect of an earlier loss is condemned. A loss that is
// reported again after its slots started to move adds no suspects. After a takeover, a loss of a target not yet seen
// healthy condemns nothing if no other target can take its slots, because the table may hold the entries of the same loss.
func (s *step) recordSuspects(l Loss) {
	lost := s.lostTargets[l.Target]
	if lost == nil {
		lost = &loss{suspects: map[uint64]bool{}}
		s.lostTargets[l.Target] = lost
		if s.onlyForcedMoves(l.Target) {
			lost.recorded = true
			return
		}
	}
	for _, f := range l.Suspects {
		if _, ok := lost.suspects[f]; ok || lost.recorded && s.onlyForcedMoves(l.Target) {
			continue
		}
		lost.suspects[f] = s.isSuspect(l.Target, f) && (s.seenHealthy[l.Target] || s.hasAlternative(l.Target))
		lost.recorded = false
	}
	delete(s.seenHealthy, l.Target)
}

// onlyForcedMoves reports whether a target owns no slots except those in forced moves.
func (s *step) onlyForcedMoves(id string) bool {
	owned, outgoing, _ := s.table.SlotCounts(id)
	if owned > 0 {
		return false
	}
	for ref, m := range s.moves {
		if outgoing > 0 && m.Owner == id && !m.Forced && ref.service == s.targets[id].Service {
			return false
		}
	}
	return true
}

// isSuspect reports whether the table or the loss of another target already lists the fingerprint.
func (s *step) isSuspect(target string, fingerprint uint64) bool {
	for id, l := range s.lostTargets {
		if _, ok := l.suspects[fingerprint]; ok && id != target {
			return true
		}
	}
	return slices.ContainsFunc(s.table.Quarantined(), func(q fulmarslot.Quarantine) bool {
		return q.Fingerprint == fingerprint && q.Until.After(s.now)
	})
}

// updateQuarantine removes expired and lifted quarantine entries and adds those of lost targets.
func (s *step) updateQuarantine() {
	marks := map[uint64]fulmarslot.Quarantine{}
	for _, q := range s.table.Quarantined() {
		if slices.Contains(s.in.LiftFingerprints, q.Fingerprint) || s.reached(q.Until) {
			s.add("quarantine-lift", fulmarslot.RemoveQuarantine(q.Fingerprint))
			continue
		}
		marks[q.Fingerprint] = q
	}
	for _, id := range slices.Sorted(maps.Keys(s.lostTargets)) {
		s.putSuspects(s.lostTargets[id], marks)
	}
}

// putSuspects adds the quarantine entries of a loss until the table holds them.
func (s *step) putSuspects(l *loss, marks map[uint64]fulmarslot.Quarantine) {
	if l.recorded {
		return
	}
	l.recorded = true
	for _, f := range slices.Sorted(maps.Keys(l.suspects)) {
		have, ok := marks[f]
		if ok && (have.Condemned || !l.suspects[f]) || slices.Contains(s.in.LiftFingerprints, f) {
			continue
		}
		l.recorded = false
		if !ok && len(marks) >= maxQuarantined && !s.evictSuspect(marks) {
			continue
		}
		q := fulmarslot.Quarantine{Fingerprint: f, Condemned: l.suspects[f], Until: s.now.Add(s.policy.QuarantineTTL)}
		marks[f] = q
		s.add("quarantine-put", fulmarslot.PutQuarantine(q))
	}
}

// maxQuarantined is the maximum number of quarantined fingerprints in the table.
const maxQuarantined = 128

// evictSuspect removes the suspect that expires first. It never removes condemned entries.
func (s *step) evictSuspect(marks map[uint64]fulmarslot.Quarantine) bool {
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

// moveLostSlots starts forced moves of all slots of lost targets, and redirects forced moves whose next target is lost.
func (s *step) moveLostSlots() {
	for _, service := range s.table.Services() {
		var slots []int
		for slot, a := range s.table.MovingSlots(service) {
			if s.lostTargets[a.Owner] != nil && !a.Forced || s.lostTargets[a.Next] != nil && a.Forced {
				s.forceMove(slotRef{service, slot}, a, &slots)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(s.lostTargets)) {
			if s.targets[id].Service != service {
				continue
			}
			slots = s.table.OwnedBy(slots, id)
		}
		s.forceMoves(service, slots)
	}
}

// forceMove turns a move into a forced one if its next target is usable. Otherwise it appends the slot to slots, to be
// given another next target.
func (s *step) forceMove(ref slotRef, a fulmarslot.Assignment, slots *[]int) {
	switch {
	case s.changedSlots[ref]:
	case !s.isUsable(a.Next):
		*slots = append(*slots, ref.slot)
	default:
		s.claimSlot(ref)
		s.add("move-forced", fulmarslot.Move(ref.service, ref.slot, a.Next, true))
	}
}

// forceMoves starts forced moves of the slots to the targets with the lowest weight.
func (s *step) forceMoves(service string, slots []int) {
	if len(slots) == 0 {
		return
	}
	spreader := s.newAllocator(service)
	for _, slot := range spreader.sortByWeight(slots) {
		ref := slotRef{service, slot}
		a := s.table.Assignment(service, slot)
		to, ok := spreader.allocate(slot, a.Owner)
		if !ok || !s.claimSlot(ref) {
			continue
		}
		s.slotCount[to]++
		if a.Next != "" {
			s.slotCount[a.Next]--
		} else {
			s.slotCount[a.Owner]--
		}
		s.add("move-forced", fulmarslot.Move(service, ref.slot, to, true))
	}
}
