package fulmarplan

import (
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// epochAck records when a majority had acknowledged an epoch.
type epochAck struct {
	epoch   uint64
	ackedAt time.Time
}

// ackHistory records when majorities acknowledged epochs, in ascending order of epoch and time.
type ackHistory struct{ acks []epochAck }

// firstAckedAt returns when a majority was first known to have acknowledged epoch.
func (q *ackHistory) firstAckedAt(epoch uint64) (time.Time, bool) {
	for _, m := range q.acks {
		if m.epoch >= epoch {
			return m.ackedAt, true
		}
	}
	return time.Time{}, false
}

func (q *ackHistory) observe(epoch uint64, now time.Time, keep time.Duration) {
	if n := len(q.acks); epoch > 0 && (n == 0 || epoch > q.acks[n-1].epoch) {
		q.acks = append(q.acks, epochAck{epoch, now})
	}
	// An entry is obsolete once all waits that start at the next entry are over.
	for len(q.acks) > 1 && now.Sub(q.acks[1].ackedAt) > keep {
		q.acks = q.acks[1:]
	}
}

// observeAcks records which epoch a majority of the roster has acknowledged.
func (s *step) observeAcks() {
	keep := 2 * (s.policy.LeaseWindow + max(s.policy.GrantTTL, s.policy.OrderTimeout))
	s.ackHistory.observe(s.majorityEpoch(s.table.Roster()), s.now, keep)
}

// majorityEpoch returns the newest epoch acknowledged by a majority of the members,
// not counting those whose loss is confirmed.
func (s *step) majorityEpoch(members []fulmarslot.Member) uint64 {
	var epochs []uint64
	counted := 0
	for _, m := range members {
		if s.confirmedLost[m.ID] {
			continue
		}
		counted++
		epochs = append(epochs, s.ackedEpoch(m))
	}
	if counted == 0 { // if all members are lost, none can act on an older table
		if len(members) > 0 {
			return s.table.Epoch()
		}
		return 0
	}
	slices.Sort(epochs)
	return epochs[counted-counted/2-1]
}

// ackedEpoch returns the newest epoch that the member has acknowledged. A restarted member counts as having acknowledged
// every epoch, because its former incarnation no longer confirms leases and the new one confirms none before the roster
// lists it.
func (s *step) ackedEpoch(m fulmarslot.Member) uint64 {
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

// restarted reports whether the process of m has ended, because the given incarnation is live at the same address or
// has replaced m in the roster.
func (s *step) restarted(m fulmarslot.Member, incarnation uint64) bool {
	same := func(x fulmarslot.Member) bool {
		return x.ID == m.ID && x.Incarnation == incarnation && x.ControlAddress == m.ControlAddress
	}
	return same(s.liveMembers[m.ID]) || slices.ContainsFunc(s.table.Roster(), same)
}

// latestGrantExpiry returns the latest expiry of any grant for the target, if every
// member of the roster has acknowledged epoch. It returns false while a former member
// may still hold a lease, because its grants are not included.
func (s *step) latestGrantExpiry(epoch uint64, target string) (time.Time, bool) {
	settled, ok := s.ackHistory.firstAckedAt(s.roster.sinceEpoch)
	if !ok || s.now.Before(settled.Add(withClockDrift(s.policy.LeaseWindow+s.policy.GrantTTL))) {
		return time.Time{}, false
	}
	var last time.Time
	for _, m := range s.table.Roster() {
		if s.confirmedLost[m.ID] || s.in.Acks[m.ID].Incarnation != m.Incarnation || s.ackedEpoch(m) < epoch {
			return time.Time{}, false
		}
		if lapse := s.in.Acks[m.ID].GrantExpiry[target]; lapse.After(last) {
			last = lapse
		}
	}
	return last, true
}

// effectsExpired reports whether no daemon can act on a table older than epoch any
// more and all effects of such actions, which last at most life, have ended.
func (s *step) effectsExpired(epoch uint64, life time.Duration) bool {
	at, ok := s.ackHistory.firstAckedAt(epoch)
	return ok && s.reached(at.Add(withClockDrift(s.policy.LeaseWindow+life)))
}
