package fulmarplan

import (
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// mark says that at a time a majority had acknowledged an epoch.
type mark struct {
	epoch uint64
	at    time.Time
}

// quorum remembers when majorities acknowledged epochs. Marks ascend by epoch and time.
type quorum struct{ marks []mark }

// since returns when a majority was first known to have acknowledged epoch.
func (q *quorum) since(epoch uint64) (time.Time, bool) {
	for _, m := range q.marks {
		if m.epoch >= epoch {
			return m.at, true
		}
	}
	return time.Time{}, false
}

func (q *quorum) observe(epoch uint64, now time.Time, keep time.Duration) {
	if n := len(q.marks); epoch > 0 && (n == 0 || epoch > q.marks[n-1].epoch) {
		q.marks = append(q.marks, mark{epoch, now})
	}
	// A mark is of no use once all waits for the next one are over.
	for len(q.marks) > 1 && now.Sub(q.marks[1].at) > keep {
		q.marks = q.marks[1:]
	}
}

// observeAcks records which epoch a majority of the roster has acknowledged.
func (s *step) observeAcks() {
	keep := 2 * (s.policy.LeaseWindow + max(s.policy.GrantTTL, s.policy.OrderTimeout))
	s.quorum.observe(s.majority(s.table.Roster()), s.now, keep)
}

// majority returns the newest epoch that a majority of the members without the
// confirmed losses has acknowledged.
func (s *step) majority(members []fulmarslot.Member) uint64 {
	var epochs []uint64
	counted := 0
	for _, m := range members {
		if s.confirm[m.ID] {
			continue
		}
		counted++
		epochs = append(epochs, s.acked(m))
	}
	if counted == 0 { // if all are lost, nobody is left to act on an older table
		if len(members) > 0 {
			return s.table.Epoch()
		}
		return 0
	}
	slices.Sort(epochs)
	return epochs[counted-counted/2-1]
}

// acked returns the newest epoch that the member has acknowledged. A member that was restarted counts as having
// acknowledged every epoch: its former incarnation confirms no lease any more, and the next one confirms none before
// the roster lists it.
func (s *step) acked(m fulmarslot.Member) uint64 {
	ack, ok := s.in.Acks[m.ID]
	switch {
	case !ok || ack.Epoch > s.table.Epoch():
		return 0
	case ack.Incarnation == m.Incarnation:
		return ack.Epoch
	case ack.Incarnation > m.Incarnation && s.restarted(m, ack.Incarnation):
		return s.table.Epoch()
	}
	return 0
}

// restarted reports whether the process of m no longer runs because another one has its address, or because the
// roster has replaced it.
func (s *step) restarted(m fulmarslot.Member, incarnation uint64) bool {
	same := func(x fulmarslot.Member) bool {
		return x.ID == m.ID && x.Incarnation == incarnation && x.ControlAddress == m.ControlAddress
	}
	return same(s.live[m.ID]) || slices.ContainsFunc(s.table.Roster(), same)
}

// all returns until when a grant for the target may last if every member of the
// roster has acknowledged epoch. It does not hold while a former member may still
// be current, because that member was not asked.
func (s *step) all(epoch uint64, target string) (time.Time, bool) {
	settled, ok := s.quorum.since(s.roster.epoch)
	if !ok || s.now.Before(settled.Add(drift(s.policy.LeaseWindow+s.policy.GrantTTL))) {
		return time.Time{}, false
	}
	var last time.Time
	for _, m := range s.table.Roster() {
		if s.confirm[m.ID] || s.in.Acks[m.ID].Incarnation != m.Incarnation || s.acked(m) < epoch {
			return time.Time{}, false
		}
		if lapse := s.in.Acks[m.ID].GrantExpiry[target]; lapse.After(last) {
			last = lapse
		}
	}
	return last, true
}

// expired reports whether no daemon can act on a table older than epoch any more,
// nor an effect of such an act that lasts at most life be in force.
func (s *step) expired(epoch uint64, life time.Duration) bool {
	at, ok := s.quorum.since(epoch)
	return ok && s.passed(at.Add(drift(s.policy.LeaseWindow+life)))
}
