package fulmarassign

import (
	"sort"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Target is a target that can own keys.
type Target struct {
	Life  fulmarrange.Life
	Slots int
	Time  float64 // seconds that it usually takes for a request
}

// Policy bounds the moves of a plan.
type Policy struct {
	Busy     float64 // utilisation of slots above which a target gives keys away
	Factor   float64 // and by which it must exceed the mean utilisation
	Moves    int     // most ranges moved by one plan for load
	Pieces   int     // ranges into which the keys of a lost target are divided
	Uniform  float64 // share of the load that is taken to lie evenly on all keys, as rates are noisy
	Segments int     // segments for each target beyond which load moves nothing
}

// Standard is the policy for targets with few slots and requests of about a tenth of a second.
var Standard = Policy{Busy: 0.6, Factor: 1.35, Moves: 12, Pieces: 4, Uniform: 0.2, Segments: 24}

// planner is the state of one plan.
type planner struct {
	policy  Policy
	table   fulmarrange.Table
	targets []Target
	index   map[fulmarrange.Life]int
	keys    []Rate
	prefix  []float64 // sums of the rates before each key of keys
	uniform float64   // rate of each key besides
	load    []float64 // requests a second by target
	mean    float64   // utilisation if all targets were equally used
}

// Plan returns the table that should be in force; it is the present one if nothing has to change.
func Plan(table fulmarrange.Table, targets []Target, rates *Rates, policy Policy) fulmarrange.Table {
	if len(targets) == 0 {
		return table
	}
	p := &planner{policy: policy, table: table, targets: targets, index: make(map[fulmarrange.Life]int, len(targets))}
	for i, t := range targets {
		p.index[t.Life] = i
	}
	p.keys = rates.Keys()
	p.prefix = make([]float64, len(p.keys)+1)
	for i, k := range p.keys {
		p.prefix[i+1] = p.prefix[i] + k.Second*(1-policy.Uniform)
	}
	total := max(rates.Total(), 1)
	p.uniform = total * policy.Uniform / (fulmarrange.Last + 1)
	if len(p.keys) == 0 {
		p.uniform = total / (fulmarrange.Last + 1)
	}
	p.measure()
	p.adopt()
	p.balance()
	return p.table
}

// rate returns the request rate of the keys from from to to.
func (p *planner) rate(from, to int) float64 {
	i := sort.Search(len(p.keys), func(i int) bool { return p.keys[i].Key >= from })
	j := sort.Search(len(p.keys), func(i int) bool { return p.keys[i].Key > to })
	return p.prefix[j] - p.prefix[i] + p.uniform*float64(to-from+1)
}

// measure sums the load of each target.
func (p *planner) measure() {
	p.load = make([]float64, len(p.targets))
	for _, s := range p.table.Segments() {
		if i, ok := p.index[s.Owner.Life]; ok {
			p.load[i] += p.rate(s.From, s.To)
		}
	}
	power := 0.0
	for _, t := range p.targets {
		power += float64(max(t.Slots, 1)) / t.Time
	}
	p.mean = p.rate(0, fulmarrange.Last) / power
}

// use returns the utilisation of a target's slots at the given rate.
func (p *planner) use(i int, rate float64) float64 {
	return rate * p.targets[i].Time / float64(max(p.targets[i].Slots, 1))
}

// room returns the rate that fits between a target's load and the mean utilisation.
func (p *planner) room(i int) float64 {
	return p.mean*float64(max(p.targets[i].Slots, 1))/p.targets[i].Time - p.load[i]
}

// idlest returns the target with the most room relative to its power.
func (p *planner) idlest() int {
	best := 0
	for i := range p.targets {
		if p.use(i, p.load[i]) < p.use(best, p.load[best]) {
			best = i
		}
	}
	return best
}

// adopt gives the keys of absent owners to present targets.
func (p *planner) adopt() {
	var orphans []fulmarrange.Segment
	keys := 0
	for _, s := range p.table.Segments() {
		if _, ok := p.index[s.Owner.Life]; !ok {
			orphans = append(orphans, s)
			keys += s.Keys()
		}
	}
	if keys == 0 {
		return
	}
	// Pieces are about equal in load: a target's share is divided into some pieces.
	orphaned := 0.0
	for _, s := range orphans {
		orphaned += p.rate(s.From, s.To)
	}
	all := p.rate(0, fulmarrange.Last)
	lost := max(1, orphaned/all*float64(len(p.targets)))
	piece := orphaned / (lost * float64(p.policy.Pieces))
	if keys == fulmarrange.Last+1 {
		p.spread()
		return
	}
	for _, s := range orphans {
		for from := s.From; from <= s.To; {
			to := p.reach(from, s.To, piece)
			p.give(from, to, p.idlest())
			from = to + 1
		}
	}
}

// spread divides the whole key space in proportion to the power of the targets.
func (p *planner) spread() {
	power := 0.0
	for _, t := range p.targets {
		power += float64(max(t.Slots, 1)) / t.Time
	}
	from, done := 0, 0.0
	for i, t := range p.targets {
		done += float64(max(t.Slots, 1)) / t.Time
		to := int(float64(fulmarrange.Last+1)*done/power) - 1
		if i == len(p.targets)-1 {
			to = fulmarrange.Last
		}
		if to >= from {
			p.give(from, to, i)
			from = to + 1
		}
	}
}

// reach returns the last key up to which the rate from from on stays within want; at least from itself.
func (p *planner) reach(from, last int, want float64) int {
	n := sort.Search(last-from+1, func(n int) bool { return p.rate(from, from+n) > want*1.05 })
	to := max(from, from+n-1)
	// A short remainder does not become a range of its own.
	if to < last && p.rate(to+1, last) < want/4 {
		return last
	}
	return to
}

// give makes target i the owner of the keys and keeps the sums of load.
func (p *planner) give(from, to, i int) {
	for _, s := range p.table.Segments() {
		if s.To < from || s.From > to {
			continue
		}
		part := p.rate(max(s.From, from), min(s.To, to))
		if owner, ok := p.index[s.Owner.Life]; ok {
			p.load[owner] -= part
		}
		p.load[i] += part
	}
	p.table = p.table.WithOwner(from, to, p.targets[i].Life)
}

// balance moves load from the busiest targets to those with room.
func (p *planner) balance() {
	for range p.policy.Moves {
		if p.table.Len() > p.policy.Segments*len(p.targets) {
			return
		}
		if !p.fill() && !p.relieve() {
			return
		}
	}
}

// fill gives a target without keys its share.
func (p *planner) fill() bool {
	owns := make([]bool, len(p.targets))
	for _, s := range p.table.Segments() {
		if i, ok := p.index[s.Owner.Life]; ok {
			owns[i] = true
		}
	}
	for i := range p.targets {
		if owns[i] {
			continue
		}
		return p.move(p.busiest(), i, p.room(i))
	}
	return false
}

func (p *planner) busiest() int {
	best := 0
	for i := range p.targets {
		if p.use(i, p.load[i]) > p.use(best, p.load[best]) {
			best = i
		}
	}
	return best
}

// relieve moves a part of the busiest target's load to the idlest one.
func (p *planner) relieve() bool {
	from, to := p.busiest(), p.idlest()
	use := p.use(from, p.load[from])
	if use < p.policy.Busy || use < p.policy.Factor*p.mean {
		return false
	}
	excess := -p.room(from)
	want := min(excess, p.room(to))
	if want < excess/16 {
		return false
	}
	return p.move(from, to, want)
}

// move gives target to the narrowest range of from's keys that carries about want.
func (p *planner) move(from, to int, want float64) bool {
	if from == to || want <= 0 {
		return false
	}
	first, last := -1, -1
	for _, s := range p.table.Segments() {
		if s.Owner.Life != p.targets[from].Life || len(s.Prior) > 0 {
			continue // keys that are on the move already stay with their new owner
		}
		f, l, ok := p.window(s, want)
		if ok && (first < 0 || l-f < last-first) {
			first, last = f, l
		}
	}
	if first < 0 {
		return false
	}
	p.give(first, last, to)
	return true
}

// window returns the narrowest range of the segment whose rate reaches want. Of a segment that carries less,
// it is the whole segment, unless that is too little to matter.
func (p *planner) window(s fulmarrange.Segment, want float64) (first, last int, ok bool) {
	whole := p.rate(s.From, s.To)
	if whole <= want {
		return s.From, s.To, whole >= want/3
	}
	first, last = s.From, s.To
	lo := sort.Search(len(p.keys), func(i int) bool { return p.keys[i].Key >= s.From })
	hi := sort.Search(len(p.keys), func(i int) bool { return p.keys[i].Key > s.To })
	for i, j := lo, lo; i < hi; i++ {
		for j < hi && p.rate(p.keys[i].Key, p.keys[j].Key) < want {
			j++
		}
		if j == hi {
			break
		}
		if p.keys[j].Key-p.keys[i].Key < last-first {
			first, last = p.keys[i].Key, p.keys[j].Key
		}
	}
	if last-first == s.To-s.From {
		// The rates lie evenly: take the end of the segment.
		first = s.To - p.span(s, want) + 1
	}
	// A range that carries much more than wanted, such as one very busy key, would only move the problem.
	return first, last, p.rate(first, last) <= 2*want || first < last
}

// span returns the number of keys at the end of the segment that carry about want.
func (p *planner) span(s fulmarrange.Segment, want float64) int {
	n := sort.Search(s.Keys(), func(n int) bool { return p.rate(s.To-n, s.To) >= want })
	return max(1, min(n+1, s.Keys()))
}
