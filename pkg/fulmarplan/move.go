package fulmarplan

import (
	"cmp"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// move is a move in progress.
type move struct {
	fulmarslot.Assignment
	epoch  uint64    // epoch in which the move began
	seenAt time.Time // when this planner first saw the move
}

// continues reports whether a belongs to the same move. A changed next target does not restart a forced move, because
// the next target gets no grant before the move ends.
func (m move) continues(a fulmarslot.Assignment) bool {
	return m.Owner == a.Owner && m.Forced == a.Forced && (m.Forced || m.MoveEpoch == a.MoveEpoch)
}

// observeTable updates the tracked moves, roster and dispatchers from the new table.
func (s *step) observeTable() {
	epoch := s.table.Epoch()
	takeover := s.moves == nil || epoch > s.lastEpoch+1 || epoch < s.lastEpoch
	if takeover {
		s.startedAt = s.now
	}
	if epoch != s.lastEpoch || takeover {
		s.roster.observe(s.table, takeover)
		s.followMoves(takeover)
		s.followDispatchers(takeover)
		s.lastEpoch = epoch
	}
	for _, m := range s.moves {
		if !m.Forced {
			s.movingCount++
		}
	}
}

func (s *step) followMoves(takeover bool) {
	moves := map[slotRef]move{}
	for _, service := range s.table.Services() {
		for slot, a := range s.table.MovingSlots(service) {
			ref := slotRef{service, slot}
			m, ok := s.moves[ref]
			if !ok || takeover || !m.continues(a) {
				m = move{epoch: cmp.Or(a.MoveEpoch, s.table.Epoch()), seenAt: s.now}
			}
			m.Assignment = a
			moves[ref] = m
		}
	}
	s.moves = moves
}

func (s *step) followDispatchers(takeover bool) {
	for _, t := range s.table.Targets() {
		_, ok := s.noDispatcherSince[t.ID]
		switch {
		case t.Fenced || t.Dispatcher != "":
			delete(s.noDispatcherSince, t.ID)
		case !ok || takeover:
			s.noDispatcherSince[t.ID] = s.table.Epoch()
		}
	}
}

// claimSlot marks a slot as changed in this step. It returns false if the slot was already changed.
func (s *step) claimSlot(ref slotRef) bool {
	if s.changedSlots[ref] {
		return false
	}
	s.changedSlots[ref] = true
	return true
}

// commitMoves ends the moves whose former owner can no longer serve the slot.
func (s *step) commitMoves() {
	for _, r := range s.in.Releases {
		for _, slot := range r.Slots {
			ref := slotRef{r.Service, slot}
			m, ok := s.moves[ref]
			if ok && r.Target == m.Owner && r.Epoch >= m.epoch && s.endsByRelease(m) {
				s.commitMove(ref, m, "release", fulmarslot.Commit)
			}
		}
	}
	type key struct {
		owner string
		epoch uint64
	}
	over := map[key]bool{}
	for _, service := range s.table.Services() {
		for slot, a := range s.table.MovingSlots(service) {
			ref := slotRef{service, slot}
			m := s.moves[ref]
			k := key{m.Owner, m.epoch}
			done, ok := over[k]
			if !ok && a.Forced {
				done = s.ownerExpired(m)
				over[k] = done
			}
			if !done || !a.Forced {
				continue
			}
			// The former owner may have run requests that are missing from the deduplication records.
			s.commitMove(ref, m, "forced", fulmarslot.CommitAsNewMove)
		}
	}
}

// endsByRelease reports whether a release ends the move. That holds for cooperative moves, and for forced moves of
// targets without fencing, where only the dispatcher knows that no order is running.
func (s *step) endsByRelease(m move) bool {
	t, _ := s.table.Target(m.Owner)
	return !m.Forced || !t.Fenced
}

// ownerExpired reports whether all grants and orders to the owner of a forced move have expired.
func (s *step) ownerExpired(m move) bool {
	t, _ := s.table.Target(m.Owner)
	if !t.Fenced {
		return !s.isListedAndLive(t.Dispatcher) && s.effectsExpired(m.epoch, s.policy.OrderTimeout)
	}
	if lapse, ok := s.latestGrantExpiry(m.epoch, m.Owner); ok && s.reached(lapse) {
		return true
	}
	return s.effectsExpired(m.epoch, s.policy.GrantTTL)
}

// commitMove ends a move unless its next target is lost.
func (s *step) commitMove(ref slotRef, m move, how string, change func(service string, slot int) fulmarslot.Change) {
	if s.lostTargets[m.Next] == nil && s.claimSlot(ref) {
		delete(s.backoffs, ref)
		s.add("commit-"+how, change(ref.service, ref.slot))
	}
}

// cancelMoves cancels cooperative moves that exceed Policy.MoveTimeout or whose next target is lost. A move away from a
// leaving target does not time out, because the target must not get new work.
func (s *step) cancelMoves() {
	for _, service := range s.table.Services() {
		for slot, a := range s.table.MovingSlots(service) {
			if ref := (slotRef{service, slot}); !a.Forced && !s.changedSlots[ref] {
				s.cancelMove(ref, s.moves[ref])
			}
		}
	}
}

func (s *step) cancelMove(ref slotRef, m move) {
	reason := "cancel-lost"
	if s.lostTargets[m.Next] == nil {
		if s.isLeaving(m.Owner) || !s.reached(m.seenAt.Add(s.policy.MoveTimeout)) {
			return
		}
		reason = "cancel-stuck"
		s.backOff(ref)
	}
	s.claimSlot(ref)
	s.slotCount[m.Next]--
	s.slotCount[m.Owner]++
	s.add(reason, fulmarslot.Cancel(ref.service, ref.slot))
}

// backoff delays the next move of a slot after a cancelled move.
type backoff struct {
	until time.Time
	count int
}

// maxBackoff is the maximum number of times that the delay after a cancelled move is doubled.
const maxBackoff = 6

// backOff delays the next move of a slot by Policy.MoveTimeout, doubled after each further cancelled move. Requests for a
// slot are refused while it moves, so long-running work must not cause repeated moves.
func (s *step) backOff(ref slotRef) {
	b := s.backoffs[ref]
	b.until = s.now.Add(s.policy.MoveTimeout << b.count)
	b.count = min(b.count+1, maxBackoff)
	s.backoffs[ref] = b
}

// startMove starts a cooperative move and reports whether it did. It does not if Policy.MaxMoving is reached, the slot is
// in backoff, or it was already changed in this step.
func (s *step) startMove(ref slotRef, from, to, reason string) bool {
	if s.movingCount >= s.policy.MaxMoving || s.now.Before(s.backoffs[ref].until) || !s.claimSlot(ref) {
		return false
	}
	s.movingCount++
	s.slotCount[from]--
	s.slotCount[to]++
	s.add(reason, fulmarslot.Move(ref.service, ref.slot, to, false))
	return true
}
