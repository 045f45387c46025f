package fulmarleader

import (
	"cmp"
	"slices"
	"time"
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
	address    string
	cpuShare   float64 // usable share of a CPU core
}

// fleet holds the other daemons that reported to the leader within memberTimeout.
type fleet struct {
	members     map[string]member
	countedAt   time.Time
	count       int
	maxCPUShare float64
}

func newFleet() *fleet { return &fleet{members: make(map[string]member)} }

// recordReport records a report of a daemon and reports whether the daemon is new.
func (f *fleet) recordReport(now time.Time, id, address string, power float64) bool {
	_, ok := f.members[id]
	if !ok {
		f.countedAt = time.Time{}
	}
	f.members[id] = member{now, address, power}
	return !ok
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
		if m.address != "" && now.Sub(m.lastReport) <= memberTimeout {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b member) int { return cmp.Compare(b.cpuShare, a.cpuShare) })
	out := make([]string, 0, maxContacts)
	for _, m := range candidates[:min(len(candidates), maxContacts)] {
		out = append(out, m.address)
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
		f.maxCPUShare = max(f.maxCPUShare, m.cpuShare)
	}
	return f.count, f.maxCPUShare
}
