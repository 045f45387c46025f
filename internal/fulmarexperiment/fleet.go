package fulmarexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrank"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	service    = "rota-board"
	plainSlots = 1024
	keyCount   = 20_000
	fleetSize  = 20
	stepping   = 250 * time.Millisecond // time between steps of the planner
	steps      = int(time.Second / stepping)
	demand     = 30.0 // slots that the load of all keys uses, half of those of the fleet
)

// policy is that of the daemon.
var policy = fulmarplan.Policy{
	MaxMoving: 64, LeaseWindow: 400 * time.Millisecond, GrantTTL: 600 * time.Millisecond, OrderTimeout: 2 * time.Second,
	MoveTimeout: 2 * time.Second, RebalanceInterval: 10 * time.Second, MaxImbalance: 1.15, MaxHotKeys: 256,
	QuarantineTTL: 30 * time.Minute, DownTimeout: 10 * time.Second,
}

// fleet is the keys of one service with their load, and its targets.
type fleet struct {
	random  *rand.Rand
	names   []string
	hashes  []uint64
	weights []float64 // of each rank, descending; their sum is demand
	ranked  []int     // key of each rank
	load    []float64 // of each key
	targets []string  // in use, ascending
}

func newFleet(exponent float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), load: make([]float64, keyCount)}
	total := 0.0
	for i := range keyCount {
		f.names = append(f.names, fmt.Sprintf("key-%d", i))
		f.hashes = append(f.hashes, fulmarslot.KeyHash(service, f.names[i]))
		f.weights = append(f.weights, math.Pow(float64(i+1), -exponent))
		total += f.weights[i]
	}
	for i := range f.weights {
		f.weights[i] *= demand / total
	}
	for i := range fleetSize {
		f.targets = append(f.targets, fmt.Sprintf("t%02d", i))
	}
	f.ranked = f.random.Perm(keyCount)
	f.spread()
	return f
}

// spread gives each key the weight of its rank.
func (f *fleet) spread() {
	for rank, key := range f.ranked {
		f.load[key] = f.weights[rank]
	}
}

// change exchanges the hottest keys with others.
func (f *fleet) change(hottest int) {
	for rank := range hottest {
		other := hottest + f.random.IntN(keyCount-hottest)
		f.ranked[rank], f.ranked[other] = f.ranked[other], f.ranked[rank]
	}
	f.spread()
}

// imbalance returns the ratio of maximum to mean load over the targets.
func (f *fleet) imbalance(owners []string) float64 {
	loads := map[string]float64{}
	highest := 0.0
	for key, owner := range owners {
		loads[owner] += f.load[key]
		highest = max(highest, loads[owner])
	}
	return highest * float64(len(f.targets)) / demand
}

// floor returns the least ratio that any placement with one owner for each key can reach.
func (f *fleet) floor() float64 { return max(1, f.weights[0]*float64(len(f.targets))/demand) }

// placement assigns keys to targets.
type placement interface {
	// advance lets a second pass and writes the owner of each key to dst.
	advance(dst []string, f *fleet)
}

// modulo places a key by its hash modulo the number of targets.
type modulo struct{}

func (modulo) advance(dst []string, f *fleet) {
	for key, hash := range f.hashes {
		dst[key] = f.targets[hash%uint64(len(f.targets))]
	}
}

// rendezvous places a key at the target that ranks first for it.
type rendezvous struct {
	targets []string
	owners  []string
}

func (r *rendezvous) advance(dst []string, f *fleet) {
	if !slices.Equal(r.targets, f.targets) {
		r.targets = slices.Clone(f.targets)
		var members []fulmarrank.Member
		for _, id := range f.targets {
			members = append(members, fulmarrank.Member{ID: id})
		}
		ranker := fulmarrank.New(members)
		r.owners = r.owners[:0]
		for _, name := range f.names {
			id, _ := ranker.First(name, "")
			r.owners = append(r.owners, id)
		}
	}
	copy(dst, r.owners)
}

// planned places keys by the slot table of a planner whose compare-and-swaps succeed. Cooperative moves are released
// after one step, and members acknowledge each epoch at once.
type planned struct {
	planner *fulmarplan.Planner
	now     time.Time
	table   fulmarslot.Table
	known   []string // targets of the last second
	lost    []string // targets that left without a drain
	drain   []string
	losing  bool // whether targets that leave are lost
	reports ReportFaults
	pending [][]fulmarplan.Load // reports under way, the oldest first
	liar    string              // target whose reports are false
	factor  float64             // of the false reports
	second  int
}

// Reports says how the planner's load reports mislead.
type ReportFaults struct {
	LagSeconds int  // seconds by which reports are late
	FalseLoads bool // one target at a time reports nothing, or four times its load
}

const (
	lie       = 10 // seconds for which a target's reports are false
	liePeriod = 30 // seconds between targets with false reports
	lieFactor = 4
)

func newPlanned(r ReportFaults, losing bool, seed uint64) *planned {
	return &planned{planner: fulmarplan.New(policy, seed), now: origin.Add(time.Hour), reports: r, losing: losing}
}

func (p *planned) advance(dst []string, f *fleet) {
	p.follow(f)
	p.second++
	p.pending = append(p.pending, p.report(f))
	var loads []fulmarplan.Load
	if len(p.pending) > p.reports.LagSeconds {
		loads, p.pending = p.pending[0], p.pending[1:]
	}
	for i := range steps {
		if i > 0 {
			loads = nil // each load is passed once
		}
		p.step(f, loads)
		p.now = p.now.Add(stepping)
	}
	p.place(dst, f)
}

// follow notes which targets left.
func (p *planned) follow(f *fleet) {
	for _, id := range p.known {
		if slices.Contains(f.targets, id) {
			continue
		}
		if p.losing {
			p.lost = append(p.lost, id)
		} else {
			p.drain = append(p.drain, id)
		}
	}
	p.known = slices.Clone(f.targets)
}

func (p *planned) step(f *fleet, loads []fulmarplan.Load) {
	member := fulmarslot.Member{ID: "m", Incarnation: 1}
	in := fulmarplan.Input{
		Table: p.table, Services: map[string]int{service: plainSlots}, Members: []fulmarslot.Member{member},
		Acks:  map[string]fulmarplan.Ack{member.ID: {Epoch: p.table.Epoch(), Incarnation: 1}},
		Loads: loads, DrainTargets: p.drain,
	}
	for _, id := range slices.Concat(f.targets, p.drain) {
		in.Targets = append(in.Targets, fulmarslot.Target{ID: id, Service: service, Fenced: true})
	}
	for _, id := range p.lost {
		in.Losses = append(in.Losses, fulmarplan.Loss{Target: id})
	}
	for slot, a := range p.table.MovingSlots(service) {
		if !a.Forced {
			in.Releases = append(in.Releases, fulmarplan.Release{
				Target: a.Owner, Service: service, Slots: []int{slot}, Epoch: p.table.Epoch(),
			})
		}
	}
	if out := p.planner.Step(p.now, in); len(out.Changes) > 0 {
		next, err := p.table.With(out.Changes...)
		if err != nil {
			panic(fmt.Sprintf("fulmarexperiment: planner's changes don't fit its table: %v", err))
		}
		p.table = next
	}
}

// slot returns the slot of a key.
func (p *planned) slot(hash uint64) int {
	if slot, ok := p.table.HotKeySlot(service, hash); ok {
		return slot
	}
	return int(hash % plainSlots)
}

func (p *planned) place(dst []string, f *fleet) {
	owners := make([]string, p.table.Slots(service))
	for slot := range owners {
		owners[slot] = p.table.Assignment(service, slot).Owner
	}
	for key, hash := range f.hashes {
		dst[key] = owners[p.slot(hash)]
	}
}

// report returns what the dispatchers observed in a second: the load of each
// slot, and that of keys that use at least 1/32 of their target.
func (p *planned) report(f *fleet) []fulmarplan.Load {
	if p.table.Slots(service) == 0 {
		return nil
	}
	if p.second%liePeriod == 0 {
		p.liar, p.factor = f.targets[f.random.IntN(len(f.targets))], float64(f.random.IntN(2)*lieFactor)
	}
	used := make([]float64, p.table.Slots(service))
	totals := map[string]float64{}
	for key, hash := range f.hashes {
		used[p.slot(hash)] += f.load[key]
	}
	truth := func(slot int) float64 {
		owner := p.table.Assignment(service, slot).Owner
		if p.reports.FalseLoads && p.second%liePeriod < lie && owner == p.liar {
			return p.factor
		}
		return 1
	}
	var loads []fulmarplan.Load
	for slot, u := range used {
		totals[p.table.Assignment(service, slot).Owner] += u
		loads = append(loads, fulmarplan.Load{Service: service, Slot: slot, Used: seconds(u * truth(slot))})
	}
	for _, key := range f.ranked[:fleetSize*32] { // no other key reaches the share
		slot := p.slot(f.hashes[key])
		if f.load[key]*32 >= totals[p.table.Assignment(service, slot).Owner] {
			loads = append(loads, fulmarplan.Load{
				Service: service, Slot: slot, Hash: f.hashes[key], Used: seconds(f.load[key] * truth(slot)),
			})
		}
	}
	return loads
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
