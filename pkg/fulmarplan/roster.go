package fulmarplan

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// rosterHistory records the last change of the roster.
type rosterHistory struct {
	members    []fulmarslot.Member
	previous   []fulmarslot.Member // nil if unknown
	sinceEpoch uint64              // epoch in which the roster took effect or was first seen
	lastHeard  map[string]time.Time
}

func (r *rosterHistory) observe(t fulmarslot.Table, takeover bool) {
	if !takeover && slices.Equal(r.members, t.Roster()) {
		return
	}
	r.previous = r.members
	if takeover {
		r.previous = nil
	}
	r.members, r.sinceEpoch = t.Roster(), t.Epoch()
}

// planRoster makes at most one change of the roster.
func (s *step) planRoster() {
	for id := range s.liveMembers {
		s.roster.lastHeard[id] = s.now
	}
	maps.DeleteFunc(s.roster.lastHeard, func(id string, _ time.Time) bool {
		return s.liveMembers[id].ID == "" && !slices.ContainsFunc(s.table.Roster(), func(m fulmarslot.Member) bool { return m.ID == id })
	})
	if len(s.table.Roster()) == 0 { // no daemon acts on an empty roster, so any next roster is safe
		for _, m := range s.sortedLive() {
			s.add("roster-found", fulmarslot.PutMember(m))
		}
		return
	}
	if !s.rosterAcked() {
		return
	}
	for _, change := range []func() bool{s.replaceMember, s.removeConfirmed, s.addMember, s.removeDown} {
		if change() {
			return
		}
	}
}

// rosterAcked reports whether majorities of the current and of the previous roster have acknowledged the last roster
// change. If the previous roster is unknown, a majority of the current one is enough: it leaves no majority in any roster
// that differs by one member.
func (s *step) rosterAcked() bool {
	if _, ok := s.ackHistory.firstAckedAt(s.roster.sinceEpoch); !ok {
		return false
	}
	return len(s.roster.previous) == 0 || s.majorityEpoch(s.roster.previous) >= s.roster.sinceEpoch
}

func (s *step) sortedLive() []fulmarslot.Member {
	var ids []string
	for id := range s.liveMembers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	members := make([]fulmarslot.Member, len(ids))
	for i, id := range ids {
		members[i] = s.liveMembers[id]
	}
	return members
}

// replaceMember lists the new incarnation of a member. An incarnation with another address may run beside the former
// process, so the member is removed and added in two separate changes.
func (s *step) replaceMember() bool {
	for _, m := range s.table.Roster() {
		l, ok := s.liveMembers[m.ID]
		switch {
		case !ok || l.Incarnation <= m.Incarnation:
		case l.ControlAddress != m.ControlAddress:
			s.add("roster-moved", fulmarslot.RemoveMember(m.ID))
			return true
		default:
			s.add("roster-replace", fulmarslot.PutMember(l))
			return true
		}
	}
	return false
}

func (s *step) removeConfirmed() bool {
	for _, m := range s.table.Roster() {
		if _, ok := s.liveMembers[m.ID]; !ok && s.confirmedLost[m.ID] {
			s.add("roster-confirmed", fulmarslot.RemoveMember(m.ID))
			return true
		}
	}
	return false
}

func (s *step) addMember() bool {
	have := map[string]bool{}
	for _, m := range s.table.Roster() {
		have[m.ID] = true
	}
	for _, m := range s.sortedLive() {
		if !have[m.ID] {
			s.add("roster-add", fulmarslot.PutMember(m))
			return true
		}
	}
	return false
}

// removeDown removes a member that is down while a majority of the roster is live. If half of the roster is lost at
// once, an operator must confirm the loss.
func (s *step) removeDown() bool {
	down, lives := "", 0
	for _, m := range s.table.Roster() {
		if _, ok := s.liveMembers[m.ID]; ok {
			lives++
			continue
		}
		if _, ok := s.roster.lastHeard[m.ID]; !ok {
			s.roster.lastHeard[m.ID] = s.now
		}
		if s.reached(s.roster.lastHeard[m.ID].Add(s.policy.DownTimeout)) && down == "" {
			down = m.ID
		}
	}
	if down == "" || 2*lives <= len(s.table.Roster()) {
		return false
	}
	s.add("roster-down", fulmarslot.RemoveMember(down))
	return true
}
