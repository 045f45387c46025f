package fulmarplan

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// roster remembers the last change of the roster.
type roster struct {
	members  []fulmarslot.Member
	previous []fulmarslot.Member // nil if it is not known
	epoch    uint64              // since which the roster is in force, or was first seen
	heard    map[string]time.Time
}

func (r *roster) observe(t fulmarslot.Table, takeover bool) {
	if !takeover && slices.Equal(r.members, t.Roster()) {
		return
	}
	r.previous = r.members
	if takeover {
		r.previous = nil
	}
	r.members, r.epoch = t.Roster(), t.Epoch()
}

// planRoster makes at most one change of the roster.
func (s *step) planRoster() {
	for id := range s.live {
		s.roster.heard[id] = s.now
	}
	maps.DeleteFunc(s.roster.heard, func(id string, _ time.Time) bool {
		return s.live[id].ID == "" && !slices.ContainsFunc(s.table.Roster(), func(m fulmarslot.Member) bool { return m.ID == id })
	})
	if len(s.table.Roster()) == 0 { // no daemon may act on an empty roster, so any next roster is safe
		for _, m := range s.sortedLive() {
			s.add("roster-found", fulmarslot.PutMember(m))
		}
		return
	}
	if !s.rosterSettled() {
		return
	}
	for _, change := range []func() bool{s.replaceMember, s.removeConfirmed, s.addMember, s.removeDown} {
		if change() {
			return
		}
	}
}

// rosterSettled reports whether a majority of the present and of the previous roster has acknowledged the last
// roster change. If the previous roster is not known, a majority of the present one is enough: it leaves no
// majority in any roster that differs by one member.
func (s *step) rosterSettled() bool {
	if _, ok := s.quorum.since(s.roster.epoch); !ok {
		return false
	}
	return len(s.roster.previous) == 0 || s.majority(s.roster.previous) >= s.roster.epoch
}

func (s *step) sortedLive() []fulmarslot.Member {
	var ids []string
	for id := range s.live {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	members := make([]fulmarslot.Member, len(ids))
	for i, id := range ids {
		members[i] = s.live[id]
	}
	return members
}

// replaceMember lists the new incarnation of a member. One with another address is another process, which may run
// beside the former one, so that it is removed and added in two changes.
func (s *step) replaceMember() bool {
	for _, m := range s.table.Roster() {
		l, ok := s.live[m.ID]
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
		if _, ok := s.live[m.ID]; !ok && s.confirm[m.ID] {
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

// removeDown removes a member that is down while a majority of the roster is heard. The loss of half of the
// roster at once thus waits for an operator.
func (s *step) removeDown() bool {
	down, lives := "", 0
	for _, m := range s.table.Roster() {
		if _, ok := s.live[m.ID]; ok {
			lives++
			continue
		}
		if _, ok := s.roster.heard[m.ID]; !ok {
			s.roster.heard[m.ID] = s.now
		}
		if s.passed(s.roster.heard[m.ID].Add(s.policy.DownTimeout)) && down == "" {
			down = m.ID
		}
	}
	if down == "" || 2*lives <= len(s.table.Roster()) {
		return false
	}
	s.add("roster-down", fulmarslot.RemoveMember(down))
	return true
}
