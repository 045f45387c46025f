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
	service        = "rota-board"
	tableSlots     = 1024 // slots of the service in the planner's table
	keyCount       = 20_000
	targetCount    = 20
	stepInterval   = 250 * time.Millisecond // between steps of the planner
	stepsPerSecond = int(time.Second / stepInterval)
	totalLoad      = 30.0 // mean number of target slots that all keys use, half of those of the fleet
)

// plannerPolicy has the values of the daemon's policy.
var plannerPolicy = fulmarplan.Policy{
	MaxMoving: 64, LeaseWindow: 400 * time.Millisecond, GrantTTL: 600 * time.Millisecond, OrderTimeout: 2 * time.Second,
	MoveTimeout: 2 * time.Second, RebalanceInterval: 10 * time.Second, MaxImbalance: 1.15, MaxHotKeys: 256,
	QuarantineTTL: 30 * time.Minute, DownTimeout: 10 * time.Second,
}

// fleet holds the keys of one service with their load, and its targets.
type fleet struct {
	random  *rand.Rand
	names   []string
	hashes  []uint64
	weights []float64 // load of each rank, descending; their sum is totalLoad
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
		f.weights[i] *= totalLoad / total
	}
	for i := range targetCount {
		f.targets = append(f.targets, fmt.Sprintf("t%02d", i))
	}
	f.ranked = f.random.Perm(keyCount)
	f.assignLoads()
	return f
}

// assignLoads gives each key the load of its rank.
func (f *fleet) assignLoads() {
	for rank, key := range f.ranked {
		f.load[key] = f.weights[rank]
	}
}

// exchangeHotKeys exchanges the ranks of the count hottest keys with those of other keys,
// chosen at random.
func (f *fleet) exchangeHotKeys(count int) {
	for rank := range count {
		other := count + f.random.IntN(keyCount-count)
		f.ranked[rank], f.ranked[other] = f.ranked[other], f.ranked[rank]
	}
	f.assignLoads()
}

// imbalance returns the ratio of maximum to mean load over the targets.
func (f *fleet) imbalance(owners []string) float64 {
	loads := map[string]float64{}
	highest := 0.0
	for key, owner := range owners {
		loads[owner] += f.load[key]
		highest = max(highest, loads[owner])
	}
	return highest * float64(len(f.targets)) / totalLoad
}

// minImbalance returns the lowest imbalance that a placement with one owner for each key
// can reach.
func (f *fleet) minImbalance() float64 { return max(1, f.weights[0]*float64(len(f.targets))/totalLoad) }

// placement assigns keys to targets.
type placement interface {
	// advance simulates one second and writes the owner of each key to dst.
	advance(dst []string, f *fleet)
}

// modulo places a key by its hash modulo the number of targets.
type modulo struct{}

func (modulo) advance(dst []string, f *fleet) {
	for key, hash := range f.hashes {
		dst[key] = f.targets[hash%uint64(len(f.targets))]
	}
}

// rendezvous places a key by rendezvous hashing, at the target that ranks first for it.
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

// planned places keys by the slot table of a planner whose compare-and-swaps all succeed.
// Former owners release cooperative moves after one step, and members acknowledge each
// epoch at once.
type planned struct {
	planner         *fulmarplan.Planner
	now             time.Time
	table           fulmarslot.Table
	previousTargets []string // targets in the second before
	lostTargets     []string // targets that left without being drained
	drainingTargets []string
	leaversLost     bool // targets that leave are lost instead of drained
	faults          ReportFaults
	pendingReports  [][]fulmarplan.Load // reports that have not reached the planner, oldest first
	falseReporter   string              // target whose loads are reported falsely
	falseFactor     float64             // by which its reported loads are multiplied
	second          int
}

// ReportFaults describes how the load reports to the planner are wrong.
type ReportFaults struct {
	LagSeconds int  // delay of reports, in seconds
	FalseLoads bool // for one target at a time, reports show no load or four times the load
}

const (
	falseSeconds       = 10 // in which a target's reports are false
	falsePeriodSeconds = 30 // between choices of the target with false reports
	maxFalseFactor     = 4
)

func newPlanned(faults ReportFaults, leaversLost bool, seed uint64) *planned {
	return &planned{planner: fulmarplan.New(plannerPolicy, seed), now: origin.Add(time.Hour), faults: faults, leaversLost: leaversLost}
}

func (p *planned) advance(dst []string, f *fleet) {
	p.observeTargets(f)
	p.second++
	p.pendingReports = append(p.pendingReports, p.reportLoads(f))
	var loads []fulmarplan.Load
	if len(p.pendingReports) > p.faults.LagSeconds {
		loads, p.pendingReports = p.pendingReports[0], p.pendingReports[1:]
	}
	for i := range stepsPerSecond {
		if i > 0 {
			loads = nil // each report is passed to the planner once
		}
		p.step(f, loads)
		p.now = p.now.Add(stepInterval)
	}
	p.writeOwners(dst, f)
}

// observeTargets records which targets left since the last call.
func (p *planned) observeTargets(f *fleet) {
	for _, id := range p.previousTargets {
		if slices.Contains(f.targets, id) {
			continue
		}
		if p.leaversLost {
			p.lostTargets = append(p.lostTargets, id)
		} else {
			p.drainingTargets = append(p.drainingTargets, id)
		}
	}
	p.previousTargets = slices.Clone(f.targets)
}

// step runs one step of the planner and applies its changes to the table.
func (p *planned) step(f *fleet, loads []fulmarplan.Load) {
	member := fulmarslot.Member{ID: "m", Incarnation: 1}
	in := fulmarplan.Input{
		Table: p.table, Services: map[string]int{service: tableSlots}, Members: []fulmarslot.Member{member},
		Acks:  map[string]fulmarplan.Ack{member.ID: {Epoch: p.table.Epoch(), Incarnation: 1}},
		Loads: loads, DrainTargets: p.drainingTargets,
	}
	for _, id := range slices.Concat(f.targets, p.drainingTargets) {
		in.Targets = append(in.Targets, fulmarslot.Target{ID: id, Service: service, Fenced: true})
	}
	for _, id := range p.lostTargets {
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
			panic(fmt.Sprintf("fulmarexperiment: apply planner changes to the table: %v", err))
		}
		p.table = next
	}
}

// slotOf returns the slot of the key with the hash.
func (p *planned) slotOf(hash uint64) int {
	if slot, ok := p.table.HotKeySlot(service, hash); ok {
		return slot
	}
	return int(hash % tableSlots)
}

// writeOwners writes the owner of each key in the table to dst.
func (p *planned) writeOwners(dst []string, f *fleet) {
	owners := make([]string, p.table.Slots(service))
	for slot := range owners {
		owners[slot] = p.table.Assignment(service, slot).Owner
	}
	for key, hash := range f.hashes {
		dst[key] = owners[p.slotOf(hash)]
	}
}

// reportLoads returns what the dispatchers report for one second: the load of each
// slot, and that of each key that accounts for at least 1/32 of the load of its target.
func (p *planned) reportLoads(f *fleet) []fulmarplan.Load {
	if p.table.Slots(service) == 0 {
		return nil
	}
	if p.second%falsePeriodSeconds == 0 {
		p.falseReporter, p.falseFactor = f.targets[f.random.IntN(len(f.targets))], float64(f.random.IntN(2)*maxFalseFactor)
	}
	used := make([]float64, p.table.Slots(service))
	totals := map[string]float64{}
	for key, hash := range f.hashes {
		used[p.slotOf(hash)] += f.load[key]
	}
	reportFactor := func(slot int) float64 {
		owner := p.table.Assignment(service, slot).Owner
		if p.faults.FalseLoads && p.second%falsePeriodSeconds < falseSeconds && owner == p.falseReporter {
			return p.falseFactor
		}
		return 1
	}
	var loads []fulmarplan.Load
	for slot, u := range used {
		totals[p.table.Assignment(service, slot).Owner] += u
		loads = append(loads, fulmarplan.Load{Service: service, Slot: slot, Used: seconds(u * reportFactor(slot))})
	}
	for _, key := range f.ranked[:targetCount*32] { // no other key can reach 1/32 of its target
		slot := p.slotOf(f.hashes[key])
		if f.load[key]*32 >= totals[p.table.Assignment(service, slot).Owner] {
			loads = append(loads, fulmarplan.Load{
				Service: service, Slot: slot, Hash: f.hashes[key], Used: seconds(f.load[key] * reportFactor(slot)),
			})
		}
	}
	return loads
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
