package fulmarassign

import (
	"cmp"
	"slices"
	"sort"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Target describes a target that can own keys.
type Target struct {
	Incarnation fulmarrange.Incarnation
	Slots       int
	ServiceTime float64 // estimated service time of a request in seconds
	// HasUnansweredGrant prevents the target's keys from being moved: the target may still apply the grant, so a new
	// owner would have to wait until it expires.
	HasUnansweredGrant bool
	Leaving            bool // the target receives no more keys
	// InNeed keeps keys away from a target while others can receive them. If its keys returned as soon as it has capacity
	// left, they would move back and forth, as a target without keys asks for none of its limit.
	InNeed     bool
	limitDelay float64 // part of ServiceTime in seconds that a limit adds; it is no time that a request takes
}

// Policy sets the costs and limits of moves in a plan.
type Policy struct {
	// MinCostRatio is the ratio of the marginal costs of a request at two targets from which load is moved between them.
	MinCostRatio float64
	// MoveCost and KeySpaceCost set the least response time that a move must save, in seconds per second: MoveCost
	// for each request per second that is moved, because requests for moved keys wait, and KeySpaceCost for the whole
	// key space, of which a move is charged the share of its keys.
	MoveCost, KeySpaceCost float64
	// SegmentCost is the cost of the grants of one segment, in the same unit.
	SegmentCost        float64
	MaxSegments        int     // per target; above it, segments are absorbed by adjacent ones
	HotKeyUtilisation  float64 // utilisation by a single key from which the key gets a target of its own
	MaxMoves           int     // maximum number of ranges that one plan moves to balance load
	PartsPerLostTarget int     // ranges into which the keys of a lost target are divided
	UniformShare       float64 // share of the load that is spread evenly over all keys, because rates are noisy
}

// DefaultPolicy is the policy for targets with few slots and service times of about a tenth of a second.
var DefaultPolicy = Policy{MinCostRatio: 1.4, MoveCost: 0.05, KeySpaceCost: 30, SegmentCost: 0.03, MaxSegments: 8, HotKeyUtilisation: 0.6, MaxMoves: 16, PartsPerLostTarget: 4, UniformShare: 0.05}

// planner holds the state of one call of Plan.
type planner struct {
	policy         Policy
	table          fulmarrange.Table
	targets        []Target
	index          map[fulmarrange.Incarnation]int
	profile        *Profile
	load           []float64   // requests per second by target
	allInNeed      bool        // of the targets that are not leaving
	hotKeyByTarget map[int]int // the key to which each dedicated target is reserved
}

// Plan returns the table that should be in force; it returns table itself if nothing has to change.
func Plan(table fulmarrange.Table, targets []Target, rates *Rates, policy Policy) fulmarrange.Table {
	if !slices.ContainsFunc(targets, func(t Target) bool { return !t.Leaving }) {
		return table
	}
	p := &planner{policy: policy, table: table, targets: targets, index: make(map[fulmarrange.Incarnation]int, len(targets))}
	for i, t := range targets {
		p.index[t.Incarnation] = i
	}
	p.allInNeed = !slices.ContainsFunc(targets, func(t Target) bool { return !t.Leaving && !t.InNeed })
	p.profile = rates.Profile(policy.UniformShare)
	p.computeLoads()
	p.reassignOrphans()
	if !p.allInNeed { // the capacity that limits leave is too small to reserve a target for one key
		p.isolateHotKeys()
	}
	p.balance()
	if p.table.MaxFence() != table.MaxFence() {
		p.mergeSegments()
	}
	return p.table
}

// isPinned reports whether the segment must not be moved because a move of it is in progress or its owner has an
// unanswered grant.
func (p *planner) isPinned(s fulmarrange.Segment) bool {
	i, ok := p.index[s.Owner.Incarnation]
	return len(s.PriorClaims) > 0 || ok && p.targets[i].HasUnansweredGrant
}

// rate returns the request rate of the keys from from to to.
func (p *planner) rate(from, to int) float64 { return p.profile.Rate(from, to) }

// computeLoads computes the load of each target.
func (p *planner) computeLoads() {
	p.load = make([]float64, len(p.targets))
	for _, s := range p.table.Segments() {
		if i, ok := p.index[s.Owner.Incarnation]; ok {
			p.load[i] += p.rate(s.From, s.To)
		}
	}
}

// capacity returns the request rate at which the target uses all of its slots.
func (t Target) capacity() float64 { return float64(max(t.Slots, 1)) / t.ServiceTime }

// capacity returns the request rate at which a target uses all of its slots.
func (p *planner) capacity(i int) float64 { return p.targets[i].capacity() }

// marginalCostAt returns the marginal cost of a request at target i with the given request rate.
func (p *planner) marginalCostAt(i int, rate float64) float64 {
	return marginalCost(p.targets[i].Slots, p.targets[i].ServiceTime, rate) - p.targets[i].limitDelay
}

// acceptsKeys reports whether a target may get more keys: it is neither leaving nor in need, unless all are in need.
func (p *planner) acceptsKeys(i int) bool {
	return !p.targets[i].Leaving && (!p.targets[i].InNeed || p.allInNeed)
}

// canReceive reports whether a target can receive more keys: it accepts them and is not dedicated to a hot key.
func (p *planner) canReceive(i int) bool {
	_, dedicated := p.hotKeyByTarget[i]
	return !dedicated && p.acceptsKeys(i)
}

// cheapest returns the target with the lowest marginal cost among those that can receive keys, or -1.
func (p *planner) cheapest() int {
	best, least := -1, 0.0
	for i := range p.targets {
		if !p.canReceive(i) {
			continue
		}
		if m := p.marginalCostAt(i, p.load[i]); best < 0 || m < least {
			best, least = i, m
		}
	}
	return best
}

// byMarginalCost returns the targets that are not dedicated to a hot key, by descending marginal cost.
func (p *planner) byMarginalCost() []int {
	costs := make(map[int]float64, len(p.targets))
	out := make([]int, 0, len(p.targets))
	for i := range p.targets {
		if _, dedicated := p.hotKeyByTarget[i]; !dedicated {
			costs[i] = p.marginalCostAt(i, p.load[i])
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(costs[b], costs[a]) })
	return out
}

// reassignOrphans assigns the keys of absent owners to present targets.
func (p *planner) reassignOrphans() {
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
	// Each average target's share of the load is divided into PartsPerLostTarget ranges of about equal load.
	orphanRate := 0.0
	for _, s := range orphans {
		orphanRate += p.rate(s.From, s.To)
	}
	totalRate := p.rate(0, fulmarrange.MaxKey)
	lostTargets := max(1, orphanRate/totalRate*float64(len(p.targets)))
	partRate := orphanRate / (lostTargets * float64(p.policy.PartsPerLostTarget))
	if keys == fulmarrange.MaxKey+1 {
		p.divideKeySpace()
		return
	}
	receivers := p.receivers()
	var changes []fulmarrange.Change
	for _, s := range orphans {
		for from := s.From; from <= s.To; {
			to := p.rangeEnd(from, s.To, partRate)
			changes = append(changes, fulmarrange.Change{From: from, To: to, Owner: receivers.assign(p.rate(from, to))})
			from = to + 1
		}
	}
	p.table = p.table.WithOwners(changes)
}

// divideKeySpace divides the whole key space among the targets in proportion to their capacity.
func (p *planner) divideKeySpace() {
	totalCapacity, last := 0.0, 0
	for i, t := range p.targets {
		if !t.Leaving {
			totalCapacity += p.capacity(i)
			last = i
		}
	}
	from, cumulative := 0, 0.0
	for i, t := range p.targets {
		if t.Leaving {
			continue
		}
		cumulative += p.capacity(i)
		to := int(float64(fulmarrange.MaxKey+1)*cumulative/totalCapacity) - 1
		if i == last {
			to = fulmarrange.MaxKey
		}
		if to >= from {
			p.assign(from, to, i)
			from = to + 1
		}
	}
}

// rangeEnd returns the last key of a range that starts at from and carries about want; it is at least from.
func (p *planner) rangeEnd(from, last int, want float64) int {
	n := sort.Search(last-from+1, func(n int) bool { return p.rate(from, from+n) > want*1.05 })
	to := max(from, from+n-1)
	// A remainder with little load does not become a range of its own.
	if to < last && p.rate(to+1, last) < want/4 {
		return last
	}
	return to
}

// assign makes target i the owner of the keys and updates the loads.
func (p *planner) assign(from, to, i int) {
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

// The capacity of another target, as a multiple of that of the owner, for which a hot key is moved. A key that has a target of
// its own needs more: of hundreds of targets the fastest one is often one whose few requests happened to be short, and each
// move breaks off the connections of all daemons.
const (
	minHotKeyGain    = 1.15 // while the owner has other keys as well
	minOwnTargetGain = 2.0  // the owner has no other key
)

// isolateHotKeys dedicates targets to single keys that use most of a target's capacity. Such a key cannot be
// divided, so it is moved to the target with the highest capacity, and all other keys of that target are moved
// elsewhere.
func (p *planner) isolateHotKeys() {
	p.hotKeyByTarget = make(map[int]int)
	moves := p.policy.MaxMoves
	for _, k := range p.hotKeys() {
		s := p.table.Find(k.Key)
		owner, ok := p.index[s.Owner.Incarnation]
		if !ok || p.isPinned(s) {
			continue
		}
		if _, dedicated := p.hotKeyByTarget[owner]; dedicated {
			continue
		}
		gain := minHotKeyGain
		if s.From == s.To {
			gain = minOwnTargetGain
		}
		if best := p.fastest(); best >= 0 && p.capacity(best) > p.capacity(owner)*gain && moves > 0 {
			p.assign(k.Key, k.Key, best)
			owner = best
			moves--
		}
		p.hotKeyByTarget[owner] = k.Key
	}
	for owner, key := range p.hotKeyByTarget {
		p.evictOtherKeys(owner, key, &moves)
	}
}

// hotKeys returns the keys that would use a large part of an average target, by descending rate.
func (p *planner) hotKeys() []Rate {
	totalCapacity := 0.0
	for i := range p.targets {
		totalCapacity += p.capacity(i)
	}
	minRate := p.policy.HotKeyUtilisation * totalCapacity / float64(len(p.targets))
	var out []Rate
	for _, k := range p.profile.Spikes() {
		if k.PerSecond >= minRate {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Rate) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	// At least three quarters of the targets must remain for the other keys.
	return out[:min(len(out), len(p.targets)/4)]
}

// fastest returns the target with the highest capacity among those that can receive keys, or -1.
func (p *planner) fastest() int {
	best := -1
	for i := range p.targets {
		if p.canReceive(i) && (best < 0 || p.capacity(i) > p.capacity(best)) {
			best = i
		}
	}
	return best
}

// evictOtherKeys moves all keys but one away from a target.
func (p *planner) evictOtherKeys(owner, key int, moves *int) {
	for _, s := range p.table.Segments() {
		if s.Owner.Incarnation != p.targets[owner].Incarnation || p.isPinned(s) {
			continue
		}
		for _, part := range [...][2]int{{s.From, min(s.To, key-1)}, {max(s.From, key+1), s.To}} {
			from, to := part[0], part[1]
			if from > to || *moves <= 0 {
				continue
			}
			if best := p.cheapest(); best >= 0 {
				p.assign(from, to, best)
				*moves--
			}
			if key < s.From || key > s.To {
				break // both parts are the whole segment
			}
		}
	}
}

// balance moves load to targets with lower cost.
func (p *planner) balance() {
	for range p.policy.MaxMoves {
		if !p.loadIdleTarget() && !p.relieveBusiest() && !p.absorbSegment() {
			return
		}
	}
}

// loadIdleTarget assigns a share of the load to a target without keys.
func (p *planner) loadIdleTarget() bool {
	excluded := make([]bool, len(p.targets)) // true if the target owns keys or must not receive any
	for i := range p.targets {
		excluded[i] = !p.acceptsKeys(i)
	}
	for _, s := range p.table.Segments() {
		if i, ok := p.index[s.Owner.Incarnation]; ok {
			excluded[i] = true
		}
	}
	to := slices.Index(excluded, false)
	if to < 0 {
		return false
	}
	shares := p.fairShares()
	for _, from := range p.byUtilisation() {
		want := min(shares[to], max(p.equalisingRate(from, to), p.load[from]-shares[from], p.load[from]/4))
		if first, last, ok := p.narrowestRange(from, want); ok && from != to {
			p.assign(first, last, to)
			return true
		}
	}
	return false
}

// fairShares returns each target's share of the load in proportion to its capacity.
func (p *planner) fairShares() []float64 {
	totalCapacity, total := 0.0, 0.0
	for i := range p.targets {
		totalCapacity += p.capacity(i)
		total += p.load[i]
	}
	shares := make([]float64, len(p.targets))
	for i := range p.targets {
		shares[i] = total * p.capacity(i) / totalCapacity
	}
	return shares
}

// byUtilisation returns the targets that are not dedicated to a hot key, by descending utilisation.
func (p *planner) byUtilisation() []int {
	out := make([]int, 0, len(p.targets))
	for i := range p.targets {
		if _, dedicated := p.hotKeyByTarget[i]; !dedicated {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(p.load[b]/p.capacity(b), p.load[a]/p.capacity(a)) })
	return out
}

// relieveBusiest moves load from a target with high marginal cost to the one with the lowest.
func (p *planner) relieveBusiest() bool {
	to := p.cheapest()
	if to < 0 || p.spare(to) <= 0 {
		return false
	}
	least := p.marginalCostAt(to, p.load[to])
	for _, from := range p.byMarginalCost() {
		if p.marginalCostAt(from, p.load[from]) < p.policy.MinCostRatio*least {
			return false
		}
		if p.moveLoad(from, to) {
			return true
		}
	}
	return false
}

// moveLoad moves load between two targets if the move saves more than it costs.
func (p *planner) moveLoad(from, to int) bool {
	first, last, ok := p.narrowestRange(from, min(p.equalisingRate(from, to), p.spare(to)))
	if !ok {
		return false
	}
	if !p.isWorthMoving(first, last, from, to) {
		return false
	}
	p.assign(first, last, to)
	return true
}

// isWorthMoving reports whether a move of the keys saves more than it costs.
func (p *planner) isWorthMoving(first, last, from, to int) bool {
	rate := p.rate(first, last)
	saved := p.totalTime(from, p.load[from]) - p.totalTime(from, p.load[from]-rate) + p.totalTime(to, p.load[to]) - p.totalTime(to, p.load[to]+rate)
	saved -= p.policy.SegmentCost * float64(p.countBoundaries(first, last, p.targets[to].Incarnation)-p.countBoundaries(first, last, p.targets[from].Incarnation))
	return saved >= p.policy.MoveCost*rate+p.policy.KeySpaceCost*float64(last-first+1)/keySpace
}

// countBoundaries returns the number of ends of a range at which the owner would change if the given incarnation
// owned the range.
func (p *planner) countBoundaries(first, last int, life fulmarrange.Incarnation) int {
	n := 0
	if first > 0 && p.table.Find(first-1).Owner.Incarnation != life {
		n++
	}
	if last < fulmarrange.MaxKey && p.table.Find(last+1).Owner.Incarnation != life {
		n++
	}
	return n
}

// mergeSegments gives adjacent segments of one incarnation a common fence, so that one grant covers them.
func (p *planner) mergeSegments() {
	segments := p.table.Segments()
	var merged []fulmarrange.Segment
	for i := 0; i < len(segments); {
		j := i
		for j+1 < len(segments) && segments[j+1].Owner.Incarnation == segments[i].Owner.Incarnation && len(segments[j+1].PriorClaims) == 0 {
			j++
		}
		if j > i && len(segments[i].PriorClaims) == 0 && segments[i].HasOwner() {
			merged = append(merged, fulmarrange.Segment{From: segments[i].From, To: segments[j].To})
		}
		i = j + 1
	}
	if len(merged) > 0 {
		p.table = p.table.WithRenewedFences(merged)
	}
}

// absorbSegment assigns a segment to the owner of an adjacent one if that saves more than it costs and there are too
// many segments.
func (p *planner) absorbSegment() bool {
	segments := p.table.Segments()
	if len(segments) <= p.policy.MaxSegments*len(p.targets) {
		return false
	}
	for i, s := range segments {
		from, ok := p.index[s.Owner.Incarnation]
		if _, dedicated := p.hotKeyByTarget[from]; !ok || dedicated || p.isPinned(s) {
			continue
		}
		for _, j := range [...]int{i - 1, i + 1} {
			if j < 0 || j >= len(segments) || len(segments[j].PriorClaims) > 0 {
				continue
			}
			to, ok := p.index[segments[j].Owner.Incarnation]
			if _, dedicated := p.hotKeyByTarget[to]; !ok || dedicated || from == to || !p.acceptsKeys(to) {
				continue
			}
			if p.isWorthMoving(s.From, s.To, from, to) {
				p.assign(s.From, s.To, to)
				return true
			}
		}
	}
	return false
}

// totalTime returns the total response time of all requests at a target with the given rate, in seconds per second.
func (p *planner) totalTime(i int, rate float64) float64 {
	return rate * (responseTime(p.targets[i].Slots, p.targets[i].ServiceTime, rate) - p.targets[i].limitDelay)
}

// equalisingRate returns the rate that must be moved to make the marginal costs at both targets equal.
func (p *planner) equalisingRate(from, to int) float64 {
	low, high := 0.0, p.load[from]
	for range 20 {
		mid := (low + high) / 2
		if p.marginalCostAt(from, p.load[from]-mid) > p.marginalCostAt(to, p.load[to]+mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// narrowestRange returns the narrowest range of a target's movable keys that carries about want.
func (p *planner) narrowestRange(from int, want float64) (first, last int, found bool) {
	if want <= 0 {
		return 0, 0, false
	}
	for _, s := range p.table.Segments() {
		if s.Owner.Incarnation != p.targets[from].Incarnation || p.isPinned(s) {
			continue // keys whose move is in progress stay with their new owner
		}
		f, l, ok := p.narrowestRangeIn(s, want)
		if ok && (!found || l-f < last-first) {
			first, last, found = f, l, true
		}
	}
	return first, last, found
}

// narrowestRangeIn returns the narrowest range of the segment whose rate reaches want. If the segment carries less, it
// returns the whole segment; ok is false if that is less than a third of want.
func (p *planner) narrowestRangeIn(s fulmarrange.Segment, want float64) (first, last int, ok bool) {
	whole := p.rate(s.From, s.To)
	if whole <= want {
		return s.From, s.To, whole >= want/3
	}
	first, last = s.From, s.To
	for _, from := range p.candidateStarts(s) {
		if p.rate(from, s.To) < want {
			break
		}
		to := from + sort.Search(s.To-from, func(n int) bool { return p.rate(from, from+n) >= want })
		if to-from < last-first {
			first, last = from, to
		}
	}
	if last-first == s.To-s.From {
		// The rates are even: use the end of the segment.
		first = s.To - p.tailKeys(s, want) + 1
	}
	// Moving a range that carries much more than want, such as one very busy key, would only overload the new owner.
	return first, last, p.rate(first, last) <= 2*want
}

// candidateStarts returns the keys of the segment at which the rate changes.
func (p *planner) candidateStarts(s fulmarrange.Segment) []int {
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

// tailKeys returns the number of keys at the end of the segment that carry about want.
func (p *planner) tailKeys(s fulmarrange.Segment, want float64) int {
	n := sort.Search(s.Keys(), func(n int) bool { return p.rate(s.To-n, s.To) >= want })
	return max(1, min(n+1, s.Keys()))
}
