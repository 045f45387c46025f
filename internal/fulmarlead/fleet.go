package fulmarlead

import "time"

const (
	// present is how long a daemon counts after its last report.
	present = 3 * time.Second
	// countEvery is the time between counts, as each answer to a report contains one.
	countEvery = 100 * time.Millisecond
)

// member is a daemon that reports.
type member struct {
	seen  time.Time
	power float64 // share of a core
}

// fleet holds the daemons that reported lately.
type fleet struct {
	members   map[string]member
	counted   time.Time
	count     int
	strongest float64
}

func newFleet() *fleet { return &fleet{members: make(map[string]member)} }

// note records a report of a daemon.
func (f *fleet) note(now time.Time, id string, power float64) {
	if _, ok := f.members[id]; !ok {
		f.counted = time.Time{}
	}
	f.members[id] = member{now, power}
}

// sum returns the number of daemons and the power of the strongest one.
func (f *fleet) sum(now time.Time) (count int, strongest float64) {
	if now.Sub(f.counted) < countEvery {
		return f.count, f.strongest
	}
	f.counted, f.count, f.strongest = now, 0, 0
	for id, m := range f.members {
		if now.Sub(m.seen) > present {
			delete(f.members, id)
			continue
		}
		f.count++
		f.strongest = max(f.strongest, m.power)
	}
	return f.count, f.strongest
}
