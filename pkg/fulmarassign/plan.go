package fulmarassign

import (
	"cmp"
	"slices"
	"sort"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Target is a target that can own keys.
type Target struct {
	Incarnation fulmarrange.Incarnation
	Slots       int
	ServiceTime float64 // seconds that it usually takes for a request
	// Pending keeps the target's keys with it: it may still take them by a grant that it has not answered, so that
	// another owner would have to wait.
	HasUnansweredGrant bool
	Leaving            bool // it gets no more keys
}

// Policy bounds the moves of a plan.
type Policy struct {
	// Factor is by how much the marginal time of a request must be lower at another target for keys to move.
	MinCostRatio float64
	// Delay and Change are what a move must save at least, in seconds of requests' time a second: Delay for each
	// request a second that is moved, as moved keys wait, and Change for the whole key space.
	MoveCost, KeySpaceCost float64
	// Segment is what a segment costs for its grants, in the same measure.
	SegmentCost        float64
	MaxSegments        int     // for each target, from which on segments are joined
	HotKeyUtilisation  float64 // utilisation by a single key from which on its target is kept for it
	MaxMoves           int     // most ranges moved by one plan for load
	PartsPerLostTarget int     // ranges into which the keys of a lost target are divided
	UniformShare       float64 // share of the load that is taken to lie evenly on all keys, as rates are noisy
}

// Standard is the policy for targets with few slots and requests of about a tenth of a second.
var DefaultPolicy = Policy{MinCostRatio: 1.4, MoveCost: 0.05, KeySpaceCost: 30, SegmentCost: 0.03, MaxSegments: 8, HotKeyUtilisation: 0.6, MaxMoves: 16, PartsPerLostTarget: 4, UniformShare: 0.05}

// planner is the state of one plan.
type planner struct {
	policy  Policy
	table   fulmarrange.Table
	targets []Target
	index   map[fulmarrange.Incarnation]int
	profile *Profile
	load    []float64   // requests a second by target
	hot     map[int]int // by target: the key for which it is kept
}

// Plan returns the table that should be in force; it is the present one if nothing has to change.
func Plan(table fulmarrange.Table, targets []Target, rates *Rates, policy Policy) fulmarrange.Table {
	if !slices.ContainsFunc(targets, func(t Target) bool { return !t.Leaving }) {
		return table
	}
	p := &planner{policy: policy, table: table, targets: targets, index: make(map[fulmarrange.Incarnation]int, len(targets))}
	for i, t := range targets {
		p.index[t.Incarnation] = i
	}
	p.profile = rates.Profile(policy.UniformShare)
	p.measure()
	p.adopt()
	p.keep()
	p.balance()
	if p.table.MaxFence() != table.MaxFence() {
		p.unite()
	}
	return p.table
}

// stays reports whether the segment is not to be moved, as it is on the move already or its owner is pending.
func (p *planner) stays(s fulmarrange.Segment) bool {
	i, ok := p.index[s.Owner.Incarnation]
	return len(s.PriorClaims) > 0 || ok && p.targets[i].HasUnansweredGrant
}

// rate returns the request rate of the keys from from to to.
func (p *planner) rate(from, to int) float64 { return p.profile.Rate(from, to) }

// measure sums the load of each target.
func (p *planner) measure() {
	p.load = make([]float64, len(p.targets))
	for _, s := range p.table.Segments() {
		if i, ok := p.index[s.Owner.Incarnation]; ok {
			p.load[i] += p.rate(s.From, s.To)
		}
	}
}

// power returns the rate at which a target uses all of its slots.
func (p *planner) power(i int) float64 {
	return float64(max(p.targets[i].Slots, 1)) / p.targets[i].ServiceTime
}

// marginal returns the marginal time of a request at a target with the given rate.
func (p *planner) marginal(i int, rate float64) float64 {
	return marginal(p.targets[i].Slots, p.targets[i].ServiceTime, rate)
}

// takes reports whether a target can get more keys: it is not kept for a key, and does not leave.
func (p *planner) takes(i int) bool {
	_, kept := p.hot[i]
	return !kept && !p.targets[i].Leaving
}

// cheapest returns the target at which a request costs least, among those that are not kept for a key.
func (p *planner) cheapest() int {
	best, least := -1, 0.0
	for i := range p.targets {
		if !p.takes(i) {
			continue
		}
		if m := p.marginal(i, p.load[i]); best < 0 || m < least {
			best, least = i, m
		}
	}
	return best
}

// dearest returns the targets that are not kept for a key, those first at which a request costs most.
func (p *planner) dearest() []int {
	costs := make(map[int]float64, len(p.targets))
	out := make([]int, 0, len(p.targets))
	for i := range p.targets {
		if _, kept := p.hot[i]; !kept {
			costs[i] = p.marginal(i, p.load[i])
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(costs[b], costs[a]) })
	return out
}

// adopt gives the keys of absent owners to present targets.
func (p *planner) adopt() {
	var orphans []fulmarrange.Segment
	keys := 0
	for _, s := range p.table.Segments() {
		if _, ok := p.index[s.Owner.Incarnation]; !ok {
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
	all := p.rate(0, fulmarrange.MaxKey)
	lost := max(1, orphaned/all*float64(len(p.targets)))
	piece := orphaned / (lost * float64(p.policy.PartsPerLostTarget))
	if keys == fulmarrange.MaxKey+1 {
		p.spread()
		return
	}
	for _, s := range orphans {
		for from := s.From; from <= s.To; {
			to := p.reach(from, s.To, piece)
			p.give(from, to, p.cheapest())
			from = to + 1
		}
	}
}

// spread divides the whole key space in proportion to the power of the targets.
func (p *planner) spread() {
	power, last := 0.0, 0
	for i, t := range p.targets {
		if !t.Leaving {
			power += p.power(i)
			last = i
		}
	}
	from, done := 0, 0.0
	for i, t := range p.targets {
		if t.Leaving {
			continue
		}
		done += p.power(i)
		to := int(float64(fulmarrange.MaxKey+1)*done/power) - 1
		if i == last {
			to = fulmarrange.MaxKey
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
		if owner, ok := p.index[s.Owner.Incarnation]; ok {
			p.load[owner] -= part
		}
		p.load[i] += part
	}
	p.table = p.table.WithOwner(from, to, p.targets[i].Incarnation)
}

// keep finds keys that use a target nearly alone. Such a key cannot be divided: it goes to the fastest target,
// and all other keys of that target go elsewhere.
func (p *planner) keep() {
	p.hot = make(map[int]int)
	moves := p.policy.MaxMoves
	for _, k := range p.busyKeys() {
		s := p.table.Find(k.Key)
		owner, ok := p.index[s.Owner.Incarnation]
		if !ok || p.stays(s) {
			continue
		}
		if _, kept := p.hot[owner]; kept {
			continue
		}
		if best := p.fastest(); best >= 0 && p.power(best) > p.power(owner)*1.15 && moves > 0 {
			p.give(k.Key, k.Key, best)
			owner = best
			moves--
		}
		p.hot[owner] = k.Key
	}
	for owner, key := range p.hot {
		p.clear(owner, key, &moves)
	}
}

// busyKeys returns the keys that would use a large part of a usual target, the busiest first.
func (p *planner) busyKeys() []Rate {
	power := 0.0
	for i := range p.targets {
		power += p.power(i)
	}
	least := p.policy.HotKeyUtilisation * power / float64(len(p.targets))
	var out []Rate
	for _, k := range p.profile.Spikes() {
		if k.PerSecond >= least {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Rate) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	// Most targets must stay for the other keys.
	return out[:min(len(out), len(p.targets)/4)]
}

// fastest returns the fastest target that is not kept for a key.
func (p *planner) fastest() int {
	best := -1
	for i := range p.targets {
		if p.takes(i) && (best < 0 || p.power(i) > p.power(best)) {
			best = i
		}
	}
	return best
}

// clear moves all keys but one away from a target.
func (p *planner) clear(owner, key int, moves *int) {
	for _, s := range p.table.Segments() {
		if s.Owner.Incarnation != p.targets[owner].Incarnation || p.stays(s) {
			continue
		}
		for _, part := range [...][2]int{{s.From, min(s.To, key-1)}, {max(s.From, key+1), s.To}} {
			from, to := part[0], part[1]
			if from > to || *moves <= 0 {
				continue
			}
			if best := p.cheapest(); best >= 0 {
				p.give(from, to, best)
				*moves--
			}
			if key < s.From || key > s.To {
				break // both parts are the same
			}
		}
	}
}

// balance moves load to where requests take less time.
func (p *planner) balance() {
	for range p.policy.MaxMoves {
		if !p.fill() && !p.relieve() && !p.mend() {
			return
		}
	}
}

// fill gives a target without keys its share.
func (p *planner) fill() bool {
	owns := make([]bool, len(p.targets)) // or is not to own any
	for i, t := range p.targets {
		owns[i] = t.Leaving
	}
	for _, s := range p.table.Segments() {
		if i, ok := p.index[s.Owner.Incarnation]; ok {
			owns[i] = true
		}
	}
	to := slices.Index(owns, false)
	if to < 0 {
		return false
	}
	fair := p.fair()
	for _, from := range p.fullest() {
		want := min(fair[to], max(p.amount(from, to), p.load[from]-fair[from], p.load[from]/4))
		if first, last, ok := p.choose(from, want); ok && from != to {
			p.give(first, last, to)
			return true
		}
	}
	return false
}

// fair returns each target's part of the load by its power.
func (p *planner) fair() []float64 {
	power, total := 0.0, 0.0
	for i := range p.targets {
		power += p.power(i)
		total += p.load[i]
	}
	out := make([]float64, len(p.targets))
	for i := range p.targets {
		out[i] = total * p.power(i) / power
	}
	return out
}

// fullest returns the targets that are not kept for a key, those first that have most load for their power.
func (p *planner) fullest() []int {
	out := make([]int, 0, len(p.targets))
	for i := range p.targets {
		if _, kept := p.hot[i]; !kept {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(p.load[b]/p.power(b), p.load[a]/p.power(a)) })
	return out
}

// relieve moves a part of the load from a target at which requests cost much to the one at which they cost least.
func (p *planner) relieve() bool {
	to := p.cheapest()
	if to < 0 {
		return false
	}
	least := p.marginal(to, p.load[to])
	for _, from := range p.dearest() {
		if p.marginal(from, p.load[from]) < p.policy.MinCostRatio*least {
			return false
		}
		if p.shift(from, to) {
			return true
		}
	}
	return false
}

// shift moves load between two targets if that saves more than it costs.
func (p *planner) shift(from, to int) bool {
	first, last, ok := p.choose(from, p.amount(from, to))
	if !ok {
		return false
	}
	if !p.worth(first, last, from, to) {
		return false
	}
	p.give(first, last, to)
	return true
}

// worth reports whether a move of keys saves more than it costs.
func (p *planner) worth(first, last, from, to int) bool {
	rate := p.rate(first, last)
	saved := p.time(from, p.load[from]) - p.time(from, p.load[from]-rate) + p.time(to, p.load[to]) - p.time(to, p.load[to]+rate)
	saved -= p.policy.SegmentCost * float64(p.bounds(first, last, p.targets[to].Incarnation)-p.bounds(first, last, p.targets[from].Incarnation))
	return saved >= p.policy.MoveCost*rate+p.policy.KeySpaceCost*float64(last-first+1)/keySpace
}

// bounds returns the number of ends of a range at which the owner would change if life owned it.
func (p *planner) bounds(first, last int, life fulmarrange.Incarnation) int {
	n := 0
	if first > 0 && p.table.Find(first-1).Owner.Incarnation != life {
		n++
	}
	if last < fulmarrange.MaxKey && p.table.Find(last+1).Owner.Incarnation != life {
		n++
	}
	return n
}

// unite gives neighbouring segments of one life a common fence, so that one grant covers them.
func (p *planner) unite() {
	segments := p.table.Segments()
	for i := 0; i < len(segments); {
		j := i
		for j+1 < len(segments) && segments[j+1].Owner.Incarnation == segments[i].Owner.Incarnation && len(segments[j+1].PriorClaims) == 0 {
			j++
		}
		if j > i && len(segments[i].PriorClaims) == 0 && segments[i].HasOwner() {
			p.table = p.table.WithRenewedFence(segments[i].From, segments[j].To)
		}
		i = j + 1
	}
}

// mend gives a segment to the owner of a neighbouring one if that saves more than it costs.
func (p *planner) mend() bool {
	segments := p.table.Segments()
	if len(segments) <= p.policy.MaxSegments*len(p.targets) {
		return false
	}
	for i, s := range segments {
		from, ok := p.index[s.Owner.Incarnation]
		if _, kept := p.hot[from]; !ok || kept || p.stays(s) {
			continue
		}
		for _, j := range [...]int{i - 1, i + 1} {
			if j < 0 || j >= len(segments) || len(segments[j].PriorClaims) > 0 {
				continue
			}
			to, ok := p.index[segments[j].Owner.Incarnation]
			if _, kept := p.hot[to]; !ok || kept || from == to || p.targets[to].Leaving {
				continue
			}
			if p.worth(s.From, s.To, from, to) {
				p.give(s.From, s.To, to)
				return true
			}
		}
	}
	return false
}

// time returns the total time of all requests at a target with the given rate, in seconds a second.
func (p *planner) time(i int, rate float64) float64 {
	return rate * response(p.targets[i].Slots, p.targets[i].ServiceTime, rate)
}

// amount returns the rate whose move makes requests cost the same at both targets.
func (p *planner) amount(from, to int) float64 {
	low, high := 0.0, p.load[from]
	for range 20 {
		mid := (low + high) / 2
		if p.marginal(from, p.load[from]-mid) > p.marginal(to, p.load[to]+mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// choose returns the narrowest range of a target's keys that carries about want.
func (p *planner) choose(from int, want float64) (first, last int, found bool) {
	if want <= 0 {
		return 0, 0, false
	}
	for _, s := range p.table.Segments() {
		if s.Owner.Incarnation != p.targets[from].Incarnation || p.stays(s) {
			continue // keys that are on the move already stay with their new owner
		}
		f, l, ok := p.window(s, want)
		if ok && (!found || l-f < last-first) {
			first, last, found = f, l, true
		}
	}
	return first, last, found
}

// window returns the narrowest range of the segment whose rate reaches want. Of a segment that carries less,
// it is the whole segment, unless that is too little to matter.
func (p *planner) window(s fulmarrange.Segment, want float64) (first, last int, ok bool) {
	whole := p.rate(s.From, s.To)
	if whole <= want {
		return s.From, s.To, whole >= want/3
	}
	first, last = s.From, s.To
	for _, from := range p.starts(s) {
		if p.rate(from, s.To) < want {
			break
		}
		to := from + sort.Search(s.To-from, func(n int) bool { return p.rate(from, from+n) >= want })
		if to-from < last-first {
			first, last = from, to
		}
	}
	if last-first == s.To-s.From {
		// The rates lie evenly: take the end of the segment.
		first = s.To - p.span(s, want) + 1
	}
	// A range that carries much more than wanted, such as one very busy key, would only move the problem.
	return first, last, p.rate(first, last) <= 2*want
}

// starts returns the keys of the segment at which the rates change.
func (p *planner) starts(s fulmarrange.Segment) []int {
	out := []int{s.From}
	for key := (s.From/binKeys + 1) * binKeys; key <= s.To; key += binKeys {
		out = append(out, key)
	}
	for _, k := range p.profile.Spikes() {
		if k.Key > s.From && k.Key <= s.To {
			out = append(out, k.Key)
		}
		if k.Key >= s.From && k.Key < s.To {
			out = append(out, k.Key+1)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// span returns the number of keys at the end of the segment that carry about want.
func (p *planner) span(s fulmarrange.Segment, want float64) int {
	n := sort.Search(s.Keys(), func(n int) bool { return p.rate(s.To-n, s.To) >= want })
	return max(1, min(n+1, s.Keys()))
}
