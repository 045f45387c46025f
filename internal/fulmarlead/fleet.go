package fulmarlead

import "time"

const (
	// present is how long a daemon counts after its last report.
	present = 3 * time.Second
	// recent covers the time between two reports of a daemon that reaches the leader.
	recent = 700 * time.Millisecond
	// countEvery is the time between counts, as each answer to a report contains one.
	countEvery = 100 * time.Millisecond
	// contactsMost is the number of daemons that others are told of. A third of them may be cut off from the store
	// together with the daemon that calls it through them.
	contactsMost = 8
)

// member is a daemon that reports.
type member struct {
	seen    time.Time
	address string
	power   float64 // share of a core
}

// fleet holds the daemons that reported lately.
type fleet struct {
	members   map[string]member
	counted   time.Time
	count     int
	strongest float64
}

func newFleet() *fleet { return &fleet{members: make(map[string]member)} }

// note records a report of a daemon; it reports whether the daemon is new.
func (f *fleet) note(now time.Time, id, address string, power float64) bool {
	_, ok := f.members[id]
	if !ok {
		f.counted = time.Time{}
	}
	f.members[id] = member{now, address, power}
	return !ok
}

// heard returns the share of the daemons that reported within the last recent; it is 1 if there are none.
func (f *fleet) heard(now time.Time) float64 {
	if len(f.members) == 0 {
		return 1
	}
	n := 0
	for _, m := range f.members {
		if now.Sub(m.seen) <= recent {
			n++
		}
	}
	return float64(n) / float64(len(f.members))
}

// contacts returns the addresses of some daemons, drawn at random.
func (f *fleet) contacts(now time.Time) []string {
	var out []string
	for _, m := range f.members {
		if m.address != "" && now.Sub(m.seen) <= present {
			out = append(out, m.address)
		}
		if len(out) == contactsMost {
			break
		}
	}
	return out
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
