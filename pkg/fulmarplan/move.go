package fulmarplan

import (
	"cmp"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// move is a move under way.
type move struct {
	fulmarslot.Assignment
	epoch uint64    // in which the move began
	seen  time.Time // when it was first seen
}

// same reports whether the move goes on as a; another next target does not restart a forced move, because
// the next target gets no grant before the move ends.
func (m move) same(a fulmarslot.Assignment) bool {
	return m.Owner == a.Owner && m.Forced == a.Forced && (m.Forced || m.MoveEpoch == a.MoveEpoch)
}

// observeTable follows the moves, the roster and the dispatchers from one table to the next.
func (s *step) observeTable() {
	epoch := s.table.Epoch()
	takeover := s.moves == nil || epoch > s.epoch+1 || epoch < s.epoch
	if takeover {
		s.began = s.now
	}
	if epoch != s.epoch || takeover {
		s.roster.observe(s.table, takeover)
		s.followMoves(takeover)
		s.followDispatchers(takeover)
		s.epoch = epoch
	}
	for _, m := range s.moves {
		if !m.Forced {
			s.moving++
		}
	}
}

func (s *step) followMoves(takeover bool) {
	moves := map[place]move{}
	for _, service := range s.table.Services() {
		for slot, a := range s.table.MovingSlots(service) {
			at := place{service, slot}
			m, ok := s.moves[at]
			if !ok || takeover || !m.same(a) {
				m = move{epoch: cmp.Or(a.MoveEpoch, s.table.Epoch()), seen: s.now}
			}
			m.Assignment = a
			moves[at] = m
		}
	}
	s.moves = moves
}

func (s *step) followDispatchers(takeover bool) {
	for _, t := range s.table.Targets() {
		_, ok := s.cleared[t.ID]
		switch {
		case t.Fenced || t.Dispatcher != "":
			delete(s.cleared, t.ID)
		case !ok || takeover:
			s.cleared[t.ID] = s.table.Epoch()
		}
	}
}

// claim reports whether the slot has no change in this step yet, and marks it.
func (s *step) claim(at place) bool {
	if s.claimed[at] {
		return false
	}
	s.claimed[at] = true
	return true
}

// commits ends the moves whose owner can no longer act.
func (s *step) commits() {
	for _, r := range s.in.Releases {
		for _, slot := range r.Slots {
			at := place{r.Service, slot}
			m, ok := s.moves[at]
			if ok && r.Target == m.Owner && r.Epoch >= m.epoch && s.endsByRelease(m) {
				s.commit(at, m, "release", fulmarslot.Commit)
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
			at := place{service, slot}
			m := s.moves[at]
			k := key{m.Owner, m.epoch}
			done, ok := over[k]
			if !ok && a.Forced {
				done = s.ownerExpired(m)
				over[k] = done
			}
			if !done || !a.Forced {
				continue
			}
			// The former owner may have run requests that no memory covers.
			s.commit(at, m, "forced", fulmarslot.CommitAsNewMove)
		}
	}
}

// endsByRelease reports whether a release ends the move: each cooperative one, and the forced ones of targets that
// check no fence, where only the dispatcher knows that no order runs.
func (s *step) endsByRelease(m move) bool {
	t, _ := s.table.Target(m.Owner)
	return !m.Forced || !t.Fenced
}

// ownerExpired reports whether no grant or order of the owner of a forced move can be in force.
func (s *step) ownerExpired(m move) bool {
	t, _ := s.table.Target(m.Owner)
	if !t.Fenced {
		return !s.serves(t.Dispatcher) && s.expired(m.epoch, s.policy.OrderTimeout)
	}
	if lapse, ok := s.all(m.epoch, m.Owner); ok && s.passed(lapse) {
		return true
	}
	return s.expired(m.epoch, s.policy.GrantTTL)
}

// commit ends a move unless its next target is lost.
func (s *step) commit(at place, m move, how string, change func(service string, slot int) fulmarslot.Change) {
	if s.lost[m.Next] == nil && s.claim(at) {
		delete(s.retry, at)
		s.add("commit-"+how, change(at.service, at.slot))
	}
}

// cancels ends cooperative moves that take too long or whose next target is lost. A move away from a leaving target
// waits for its work instead, because the target must not get new work.
func (s *step) cancels() {
	for _, service := range s.table.Services() {
		for slot, a := range s.table.MovingSlots(service) {
			if at := (place{service, slot}); !a.Forced && !s.claimed[at] {
				s.cancel(at, s.moves[at])
			}
		}
	}
}

func (s *step) cancel(at place, m move) {
	reason := "cancel-lost"
	if s.lost[m.Next] == nil {
		if s.leaves(m.Owner) || !s.passed(m.seen.Add(s.policy.MoveTimeout)) {
			return
		}
		reason = "cancel-stuck"
		s.postpone(at)
	}
	s.claim(at)
	s.share[m.Next]--
	s.share[m.Owner]++
	s.add(reason, fulmarslot.Cancel(at.service, at.slot))
}

// backoff keeps a slot whose move was cancelled where it is.
type backoff struct {
	until time.Time
	count int
}

// maxBackoff is how often the wait after a cancelled move is doubled.
const maxBackoff = 6

// postpone keeps a slot from moving for Policy.Stuck, and for twice as long after each further cancelled move: requests
// for the slot are refused while it moves, so that work that lasts long must not make it move again and again.
func (s *step) postpone(at place) {
	b := s.retry[at]
	b.until = s.now.Add(s.policy.MoveTimeout << b.count)
	b.count = min(b.count+1, maxBackoff)
	s.retry[at] = b
}

// startMove starts a cooperative move if the bound allows it and the slot has no change yet.
func (s *step) startMove(at place, from, to, reason string) bool {
	if s.moving >= s.policy.MaxMoving || s.now.Before(s.retry[at].until) || !s.claim(at) {
		return false
	}
	s.moving++
	s.share[from]--
	s.share[to]++
	s.add(reason, fulmarslot.Move(at.service, at.slot, to, false))
	return true
}
