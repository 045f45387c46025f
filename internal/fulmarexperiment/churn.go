package fulmarexperiment

import "slices"

// Placement is a way to assign keys to targets.
type Placement uint8

// Placements; all but Planned serve as baselines and move no keys for load.
const (
	Planned Placement = iota
	Modulo
	Rendezvous
)

// String returns the name of the placement.
func (p Placement) String() string { return [...]string{"planner", "modulo", "rendezvous"}[p] }

func (p Placement) start(r ReportFaults, losing bool, seed uint64) placement {
	switch p {
	case Modulo:
		return modulo{}
	case Rendezvous:
		return &rendezvous{}
	}
	return newPlanned(r, losing, seed)
}

const (
	warmup     = 120 // seconds before the first measured one
	measured   = 300
	hotPeriod  = 60  // seconds between changes of the hottest keys
	hottest    = 130 // keys that change
	returnTime = 120 // seconds in which a key that moves to its former owner counts as returned
	calmTime   = 120 // seconds after a change of targets
	bound      = 1.25
)

// Balance is the result of a run with skewed load whose hottest keys change each minute.
type Balance struct {
	Floor        float64 // the least ratio that is possible with one owner for each key
	Median       float64 // of the ratio of maximum to mean load, sampled each second
	P95          float64
	Max          float64
	AboveShare   float64 // share of the time in which the ratio exceeds 1.25
	LongestAbove int     // most seconds in a row above 1.25
	Moved        int     // changes of owner of all keys
	Returned     int     // those back to the former owner within two minutes
}

// MeasureBalance runs keys with Zipf distributed load of the given exponent.
func MeasureBalance(p Placement, exponent float64, r ReportFaults, seed uint64) Balance {
	f := newFleet(exponent, seed)
	t := newTrack(p.start(r, false, seed), f)
	t.run(warmup)
	t.moved, t.returned = 0, 0
	var ratios []float64
	above, row, longest := 0, 0, 0
	for second := range measured {
		if second%hotPeriod == 0 && exponent > 0 {
			f.change(hottest)
		}
		t.run(1)
		ratio := f.imbalance(t.owners)
		ratios = append(ratios, ratio)
		if ratio > bound {
			above++
			row++
		} else {
			row = 0
		}
		longest = max(longest, row)
	}
	slices.Sort(ratios)
	return Balance{
		Floor: f.floor(), Median: ratios[measured/2], P95: ratios[measured*95/100], Max: ratios[measured-1],
		AboveShare: float64(above) / measured, LongestAbove: longest, Moved: t.moved, Returned: t.returned,
	}
}

// Event is a change of targets.
type Event uint8

// Events.
const (
	Loss Event = iota
	Drain
	Join
)

// String returns the name of the event.
func (e Event) String() string { return [...]string{"loss", "drain", "join"}[e] }

// Churn is the result of a change of targets.
type Churn struct {
	Moved          int     // changes of owner of all keys in two minutes
	Minimum        int     // keys of a target that left, or an even share for one that joined
	Ratio          float64 // Moved / Minimum
	ImbalanceAfter float64 // maximum to mean load at the end
}

// MeasureChurn changes the targets of a fleet with Zipf distributed load that is at rest.
func MeasureChurn(p Placement, e Event, exponent float64, seed uint64) Churn {
	f := newFleet(exponent, seed)
	t := newTrack(p.start(ReportFaults{}, e == Loss, seed), f)
	t.run(2 * warmup)
	t.moved = 0
	c := Churn{}
	if e == Join {
		f.targets = append(f.targets, "t99")
		c.Minimum = keyCount / len(f.targets)
	} else {
		i := f.random.IntN(len(f.targets))
		for _, owner := range t.owners {
			if owner == f.targets[i] {
				c.Minimum++
			}
		}
		f.targets = slices.Delete(f.targets, i, i+1)
	}
	t.run(calmTime)
	c.Moved, c.Ratio, c.ImbalanceAfter = t.moved, float64(t.moved)/float64(c.Minimum), f.imbalance(t.owners)
	return c
}

// track follows the owners of all keys.
type track struct {
	placement placement
	fleet     *fleet
	second    int
	owners    []string
	next      []string
	former    []string
	movedAt   []int
	moved     int
	returned  int
}

func newTrack(p placement, f *fleet) *track {
	n := len(f.names)
	return &track{
		placement: p, fleet: f,
		owners: make([]string, n), next: make([]string, n), former: make([]string, n), movedAt: make([]int, n),
	}
}

// run lets seconds pass and counts the keys that move.
func (t *track) run(seconds int) {
	for range seconds {
		t.second++
		t.placement.advance(t.next, t.fleet)
		for key, owner := range t.next {
			before := t.owners[key]
			if owner == before {
				continue
			}
			if before != "" {
				t.moved++
				if owner == t.former[key] && t.second-t.movedAt[key] <= returnTime {
					t.returned++
				}
			}
			t.former[key], t.movedAt[key] = before, t.second
		}
		t.owners, t.next = t.next, t.owners
	}
}
