package fulmarleader

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
)

const (
	// memberTimeout is the time after its last report at which a daemon is removed from the fleet.
	memberTimeout = 3 * time.Second
	// reportWindow is longer than the interval between two reports of a daemon that reaches the leader.
	reportWindow = 700 * time.Millisecond
	// countInterval is the time for which a count is cached, as every answer to a report contains one.
	countInterval = 100 * time.Millisecond
	// maxContacts is the number of daemon addresses that an update contains. It allows for a third of those daemons
	// being cut off from the store together with the daemon that forwards calls through them.
	maxContacts = 8
)

// member is the latest report of one daemon.
type member struct {
	lastReport time.Time
	fulmarrelay.Member
}

// fleet holds the other daemons that reported to the leader within memberTimeout.
type fleet struct {
	members     map[string]member
	countedAt   time.Time
	count       int
	maxCPUShare float64
}

func newFleet() *fleet { return &fleet{members: make(map[string]member)} }

// recordReport records a report of a daemon, which a relay may have received before, and reports whether the daemon is new.
func (f *fleet) recordReport(now time.Time, r fulmarleaderrpc.MemberReport) bool {
	reportedAt := now.Add(-max(r.Age, 0))
	old, ok := f.members[r.ID]
	if now.Sub(reportedAt) > memberTimeout || reportedAt.Before(old.lastReport) {
		return false
	}
	if !ok {
		f.countedAt = time.Time{}
	}
	f.members[r.ID] = member{reportedAt, fulmarrelay.Member{Relay: fulmarrelay.Relay{Address: r.Address, DC: r.DC}, CPUShare: r.CPUShare}}
	return !ok
}

// candidates returns the daemons that can be relays.
func (f *fleet) candidates(now time.Time) []fulmarrelay.Member {
	out := make([]fulmarrelay.Member, 0, len(f.members))
	for _, m := range f.members {
		if m.Address != "" && m.DC != "" && now.Sub(m.lastReport) <= memberTimeout {
			out = append(out, m.Member)
		}
	}
	return out
}

// reportingShare returns the share of the daemons that reported within reportWindow, or 1 if there are no daemons.
func (f *fleet) reportingShare(now time.Time) float64 {
	if len(f.members) == 0 {
		return 1
	}
	n := 0
	for _, m := range f.members {
		if now.Sub(m.lastReport) <= reportWindow {
			n++
		}
	}
	return float64(n) / float64(len(f.members))
}

// contacts returns the addresses of up to maxContacts daemons, those with the largest CPU share first and equal ones in
// random order. A weak daemon takes most of a second to read the whole store for another one.
func (f *fleet) contacts(now time.Time) []string {
	candidates := make([]member, 0, len(f.members))
	for _, m := range f.members { // in random order
		if m.Address != "" && now.Sub(m.lastReport) <= memberTimeout {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b member) int { return cmp.Compare(b.CPUShare, a.CPUShare) })
	out := make([]string, 0, maxContacts)
	for _, m := range candidates[:min(len(candidates), maxContacts)] {
		out = append(out, m.Address)
	}
	return out
}

// countMembers returns the number of daemons and their largest CPU share, and removes daemons that no longer report.
func (f *fleet) countMembers(now time.Time) (count int, maxCPUShare float64) {
	if now.Sub(f.countedAt) < countInterval {
		return f.count, f.maxCPUShare
	}
	f.countedAt, f.count, f.maxCPUShare = now, 0, 0
	for id, m := range f.members {
		if now.Sub(m.lastReport) > memberTimeout {
			delete(f.members, id)
			continue
		}
		f.count++
		f.maxCPUShare = max(f.maxCPUShare, m.CPUShare)
	}
	return f.count, f.maxCPUShare
}
