package fulmarplan

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// Policy has the bounds of the planner.
type Policy struct {
	MaxMoving         int           // most slots moving at once
	LeaseWindow       time.Duration // window of the quorum lease
	GrantTTL          time.Duration // longest life of a grant after its stamp
	OrderTimeout      time.Duration // longest deadline of an order to a target that checks no fence
	MoveTimeout       time.Duration // a cooperative move older than this is cancelled
	RebalanceInterval time.Duration // least time between moves of one slot for balance
	MaxImbalance      float64       // ratio of maximum to mean load from which load is rebalanced
	MaxHotKeys        int           // most hot keys
	QuarantineTTL     time.Duration // how long a fingerprint stays condemned
	DownTimeout       time.Duration // a member down for this long leaves the roster
}

// Ack is a member's word on the newest table that it has.
type Ack struct {
	Epoch       uint64
	Incarnation uint64
	GrantExpiry map[string]time.Time // for each target: until when a grant of this member may last
	GrantSent   map[string]bool      // targets to which this member has sent a grant lately
}

// Loss reports that the dispatcher of a target lost it and has stopped renewing its grant.
type Loss struct {
	Target   string
	Suspects []uint64
}

// Release reports that slots no longer are in force at their owner.
type Release struct {
	Target  string
	Service string
	Slots   []int
	Epoch   uint64
}

// Load is the server time that a slot used, or that a hot key within it used.
type Load struct {
	Service string
	Slot    int
	Hash    uint64 // set for a hot key within the slot
	Used    time.Duration
}

// Input is all that a step of the planner considers.
type Input struct {
	Table            fulmarslot.Table
	Services         map[string]int      // slots of each service by configuration
	Targets          []fulmarslot.Target // targets that the platform's list or a peer reports, fence support known
	Members          []fulmarslot.Member // members heard within the failure detector's timeout, self included
	Acks             map[string]Ack      // by member id
	Losses           []Loss
	Releases         []Release
	Loads            []Load
	DrainTargets     []string // targets that operators drain
	ConfirmedLost    []string // members whose loss an operator has confirmed
	LiftFingerprints []uint64 // fingerprints that an operator lifts
}

// Output is the result of a step.
type Output struct {
	Changes  []fulmarslot.Change
	Reasons  []string  // one for each kind of change, for the log
	NextStep time.Time // when to step again at the latest, zero if only news can change anything
}

// Planner decides changes of the slot table; it is not safe for concurrent use.
type Planner struct {
	policy Policy
	seed   uint64
	epoch  uint64 // of the last table

	quorum  quorum
	roster  roster
	moves   map[place]move
	cleared map[string]uint64 // for each target without a dispatcher: the epoch since which it has none
	lost    map[string]*loss
	healthy map[string]bool // targets that this planner saw in use
	retry   map[place]backoff
	loads   map[string]*loads
	held    map[place]hold
	absent  map[string]time.Time // since when targets without slots are not reported
	filling map[string]bool      // targets that have joined and get slots
	began   time.Time            // when the planner took over
}

// place is one slot of the table.
type place struct {
	service string
	slot    int
}

// New returns a planner; seed makes its choices between equals repeatable.
func New(policy Policy, seed uint64) *Planner {
	return &Planner{
		policy: policy, seed: seed, roster: roster{heard: map[string]time.Time{}}, cleared: map[string]uint64{},
		lost: map[string]*loss{}, healthy: map[string]bool{}, retry: map[place]backoff{}, loads: map[string]*loads{},
		held: map[place]hold{}, absent: map[string]time.Time{}, filling: map[string]bool{},
	}
}

// step is the state of one call of Step.
type step struct {
	*Planner
	now      time.Time
	in       *Input
	table    fulmarslot.Table
	out      Output
	live     map[string]fulmarslot.Member
	confirm  map[string]bool
	reported map[string]bool // targets of the input
	drained  map[string]bool
	targets  map[string]fulmarslot.Target // after the changes of this step
	usable   map[string][]string          // by service: targets that may get slots, in order of id
	share    map[string]int               // by target: slots that it owns or will own
	claimed  map[place]bool               // slots with a change in this step
	moving   int                          // cooperative moves under way
}

// Step returns the changes to make next, as one compare-and-swap of the table.
func (p *Planner) Step(now time.Time, in Input) Output {
	s := p.begin(now, &in)
	s.observeTable()
	s.observeAcks()
	s.observeLoads()
	s.services()
	s.planTargets()
	s.planRoster()
	s.observeLosses()
	s.findUsable()
	s.quarantine()
	s.commits()
	s.losses()
	s.cancels()
	s.assign()
	s.drain()
	s.fill()
	s.balance()
	return s.out
}

func (p *Planner) begin(now time.Time, in *Input) *step {
	s := &step{
		Planner: p, now: now, in: in, table: in.Table, live: map[string]fulmarslot.Member{}, confirm: map[string]bool{}, reported: map[string]bool{}, drained: map[string]bool{},
		targets: map[string]fulmarslot.Target{}, usable: map[string][]string{}, share: map[string]int{}, claimed: map[place]bool{},
	}
	for _, m := range in.Members {
		if have, ok := s.live[m.ID]; !ok || m.Incarnation > have.Incarnation {
			s.live[m.ID] = m
		}
	}
	for _, id := range in.ConfirmedLost {
		s.confirm[id] = true
	}
	for _, id := range in.DrainTargets {
		s.drained[id] = true
	}
	for _, t := range in.Targets {
		s.reported[t.ID] = true
	}
	for _, m := range in.Table.Roster() {
		if l, ok := s.live[m.ID]; ok && l.Incarnation == m.Incarnation {
			delete(s.confirm, m.ID) // a member that is heard is not lost
		}
	}
	for _, t := range in.Table.Targets() {
		owned, _, incoming := in.Table.SlotCounts(t.ID)
		s.targets[t.ID], s.share[t.ID] = t, owned+incoming
	}
	return s
}

// add appends a change with its reason.
func (s *step) add(reason string, changes ...fulmarslot.Change) {
	s.out.Changes = append(s.out.Changes, changes...)
	if !slices.Contains(s.out.Reasons, reason) {
		s.out.Reasons = append(s.out.Reasons, reason)
	}
}

// wake asks for a step at t.
func (s *step) wake(t time.Time) {
	if s.out.NextStep.IsZero() || t.Before(s.out.NextStep) {
		s.out.NextStep = t
	}
}

// passed reports whether t has come, and asks for a step at t otherwise.
func (s *step) passed(t time.Time) bool {
	if s.now.Before(t) {
		s.wake(t)
		return false
	}
	return true
}

// drift adds the clock-rate error of 0.1 % to a wait for another clock.
func drift(d time.Duration) time.Duration { return d + d/1000 + 1 }

// tie orders equals by the planner's seed.
func (p *Planner) tie(service, id string) uint64 {
	x := xxhash.Sum64String(service+"\x00"+id) ^ p.seed
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}
