package fulmarexperiment

import "slices"

// Placement is a method of assigning keys to targets.
type Placement uint8

// Placements. All but Planned are baselines and do not move keys to balance load.
const (
	Planned Placement = iota
	Modulo
	Rendezvous
)

// String returns the name of the placement.
func (p Placement) String() string { return [...]string{"planner", "modulo", "rendezvous"}[p] }

// newPlacement returns a placement for one run. leaversLost and faults matter to Planned
// only: whether targets that leave are lost or drained, and how load reports are wrong.
func (p Placement) newPlacement(faults ReportFaults, leaversLost bool, seed uint64) placement {
	switch p {
	case Modulo:
		return modulo{}
	case Rendezvous:
		return &rendezvous{}
	}
	return newPlanned(faults, leaversLost, seed)
}

const (
	warmupSeconds    = 120 // before the measurement
	measuredSeconds  = 300
	hotChangeSeconds = 60   // between changes of the hottest keys
	hotKeyCount      = 130  // hottest keys that are exchanged with others
	returnSeconds    = 120  // a key that moves back to its former owner within this time counts as returned
	churnSeconds     = 120  // in which moves are counted after a change of targets
	imbalanceBound   = 1.25 // ratio of maximum to mean load
)

// Balance is the result of a run with skewed load whose hottest keys change each minute.
// Its ratios are of maximum to mean load over the targets, sampled each second.
type Balance struct {
	Floor        float64 // the lowest ratio that is possible with one owner for each key
	Median       float64
	P95          float64
	Max          float64
	AboveShare   float64 // share of the time in which the ratio exceeds 1.25
	LongestAbove int     // longest time in which the ratio stayed above 1.25, in seconds
	Moved        int     // changes of the owner of a key
	Returned     int     // changes back to the former owner within two minutes
}

// MeasureBalance measures how evenly a placement spreads Zipf-distributed load of the
// given exponent.
func MeasureBalance(p Placement, exponent float64, faults ReportFaults, seed uint64) Balance {
	f := newFleet(exponent, seed)
	t := newOwnerTracker(p.newPlacement(faults, false, seed), f)
	t.run(warmupSeconds)
	t.moved, t.returned = 0, 0
	var ratios []float64
	above, streak, longest := 0, 0, 0
	for second := range measuredSeconds {
		if second%hotChangeSeconds == 0 && exponent > 0 {
			f.exchangeHotKeys(hotKeyCount)
		}
		t.run(1)
		ratio := f.imbalance(t.owners)
		ratios = append(ratios, ratio)
		if ratio > imbalanceBound {
			above++
			streak++
		} else {
			streak = 0
		}
		longest = max(longest, streak)
	}
	slices.Sort(ratios)
	return Balance{
		Floor: f.minImbalance(), Median: ratios[measuredSeconds/2], P95: ratios[measuredSeconds*95/100], Max: ratios[measuredSeconds-1],
		AboveShare: float64(above) / measuredSeconds, LongestAbove: longest, Moved: t.moved, Returned: t.returned,
	}
}

// Event is a change of the set of targets.
type Event uint8

// Events.
const (
	Loss Event = iota
	Drain
	Join
)

// String returns the name of the event.
func (e Event) String() string { return [...]string{"loss", "drain", "join"}[e] }

// Churn is the result of a change of the set of targets.
type Churn struct {
	Moved          int     // changes of the owner of a key in two minutes
	Minimum        int     // keys of the target that left, or an even share of all keys for one that joined
	Ratio          float64 // Moved / Minimum
	ImbalanceAfter float64 // ratio of maximum to mean load at the end
}

// MeasureChurn changes the targets of a fleet with a constant Zipf-distributed load of the
// given exponent, and counts the keys that move.
func MeasureChurn(p Placement, e Event, exponent float64, seed uint64) Churn {
	f := newFleet(exponent, seed)
	t := newOwnerTracker(p.newPlacement(ReportFaults{}, e == Loss, seed), f)
	t.run(2 * warmupSeconds)
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
	t.run(churnSeconds)
	c.Moved, c.Ratio, c.ImbalanceAfter = t.moved, float64(t.moved)/float64(c.Minimum), f.imbalance(t.owners)
	return c
}

// ownerTracker runs a placement and records the owner of each key.
type ownerTracker struct {
	placement    placement
	fleet        *fleet
	second       int // current time
	owners       []string
	nextOwners   []string // written by the placement, then swapped with owners
	formerOwners []string
	movedAt      []int // second of the last move of each key
	moved        int
	returned     int // moves back to the former owner within returnSeconds
}

func newOwnerTracker(p placement, f *fleet) *ownerTracker {
	n := len(f.names)
	return &ownerTracker{
		placement: p, fleet: f,
		owners: make([]string, n), nextOwners: make([]string, n), formerOwners: make([]string, n), movedAt: make([]int, n),
	}
}

// run advances the placement by seconds and counts the keys that move.
func (t *ownerTracker) run(seconds int) {
	for range seconds {
		t.second++
		t.placement.advance(t.nextOwners, t.fleet)
		for key, owner := range t.nextOwners {
			before := t.owners[key]
			if owner == before {
				continue
			}
			if before != "" {
				t.moved++
				if owner == t.formerOwners[key] && t.second-t.movedAt[key] <= returnSeconds {
					t.returned++
				}
			}
			t.formerOwners[key], t.movedAt[key] = before, t.second
		}
		t.owners, t.nextOwners = t.nextOwners, t.owners
	}
}
