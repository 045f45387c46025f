package fulmarplan

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// Policy holds the limits and timeouts of the planner.
type Policy struct {
	MaxMoving         int           // maximum number of slots in cooperative moves at once
	LeaseWindow       time.Duration // duration of the quorum lease
	GrantTTL          time.Duration // maximum lifetime of a grant after its timestamp
	OrderTimeout      time.Duration // maximum deadline of an order to a target without fencing
	MoveTimeout       time.Duration // a cooperative move that takes longer is cancelled
	RebalanceInterval time.Duration // minimum time between two rebalancing moves of one slot
	MaxImbalance      float64       // ratio of maximum to mean target load above which slots are rebalanced
	MaxHotKeys        int           // maximum number of hot keys with their own slot
	QuarantineTTL     time.Duration // how long a fingerprint stays quarantined
	DownTimeout       time.Duration // a member down, or an empty target unreported, for this long is removed
}

// Ack is a member's acknowledgement of the newest table that it has.
type Ack struct {
	Epoch       uint64
	Incarnation uint64
	GrantExpiry map[string]time.Time // by target: latest time at which a grant from this member may expire
	GrantSent   map[string]bool      // targets to which this member recently sent a grant
}

// Loss reports that the dispatcher of a target considers it lost and no longer renews its grant.
// Suspects are the fingerprints of requests that may have caused the loss.
type Loss struct {
	Target   string
	Suspects []uint64
}

// Release reports that the owner of slots no longer serves them as of an epoch.
type Release struct {
	Target  string
	Service string
	Slots   []int
	Epoch   uint64
}

// Load is the server time used by a slot, or by one hot key candidate in it.
type Load struct {
	Service string
	Slot    int
	Hash    uint64 // hash of the key, zero for the load of the whole slot
	Used    time.Duration
}

// Input holds everything that a planner step considers.
type Input struct {
	Table            fulmarslot.Table
	Services         map[string]int      // number of slots of each configured service
	Targets          []fulmarslot.Target // targets reported by the platform's list or a peer, with known fencing support
	Members          []fulmarslot.Member // live members according to the failure detector, including this one
	Acks             map[string]Ack      // by member id
	Losses           []Loss
	Releases         []Release
	Loads            []Load
	DrainTargets     []string // targets to drain on request of an operator
	ConfirmedLost    []string // members whose loss an operator confirmed
	LiftFingerprints []uint64 // fingerprints to release from quarantine on request of an operator
}

// Output is the result of a planner step.
type Output struct {
	Changes  []fulmarslot.Change
	Reasons  []string  // distinct reasons of the changes, for the log
	NextStep time.Time // latest time of the next step, zero if only new input can cause changes
}

// Planner decides the changes of the slot table. It is not safe for concurrent use.
type Planner struct {
	policy    Policy
	seed      uint64
	lastEpoch uint64 // epoch of the table in the last step

	ackHistory        ackHistory
	roster            rosterHistory
	moves             map[slotRef]move
	noDispatcherSince map[string]uint64 // by target without a dispatcher: epoch in which it lost it
	lostTargets       map[string]*loss
	seenHealthy       map[string]bool // targets that this planner has seen reported and not lost
	backoffs          map[slotRef]backoff
	loads             map[string]*loads
	cooldowns         map[slotRef]cooldown
	absentSince       map[string]time.Time // by target without slots: when it was first missing from the reports
	filling           map[string]bool      // joined targets that still receive slots
	startedAt         time.Time            // time of the last takeover
}

// slotRef identifies one slot of the table.
type slotRef struct {
	service string
	slot    int
}

// New returns a planner. The seed makes tie-breaking deterministic.
func New(policy Policy, seed uint64) *Planner {
	return &Planner{
		policy: policy, seed: seed, roster: rosterHistory{lastHeard: map[string]time.Time{}}, noDispatcherSince: map[string]uint64{},
		lostTargets: map[string]*loss{}, seenHealthy: map[string]bool{}, backoffs: map[slotRef]backoff{}, loads: map[string]*loads{},
		cooldowns: map[slotRef]cooldown{}, absentSince: map[string]time.Time{}, filling: map[string]bool{},
	}
}

// step holds the state of one call of Planner.Step.
type step struct {
	*Planner
	now             time.Time
	in              *Input
	table           fulmarslot.Table
	out             Output
	liveMembers     map[string]fulmarslot.Member
	confirmedLost   map[string]bool
	reportedTargets map[string]bool // ids of Input.Targets
	drainedTargets  map[string]bool
	targets         map[string]fulmarslot.Target // by id, including the changes of this step
	usableTargets   map[string][]string          // by service: targets that may receive slots, sorted by id
	slotCount       map[string]int               // by target: slots that it owns or is about to own
	changedSlots    map[slotRef]bool             // slots already changed in this step
	movingCount     int                          // number of cooperative moves in progress
}

// Step returns the next changes, to be applied in one compare-and-swap of the table.
func (p *Planner) Step(now time.Time, in Input) Output {
	s := p.newStep(now, &in)
	s.observeTable()
	s.observeAcks()
	s.observeLoads()
	s.addServices()
	s.planTargets()
	s.planRoster()
	s.observeLosses()
	s.findUsable()
	s.updateQuarantine()
	s.commitMoves()
	s.moveLostSlots()
	s.cancelMoves()
	s.assignUnowned()
	s.drainSlots()
	s.fillJoinedTargets()
	s.balance()
	return s.out
}

func (p *Planner) newStep(now time.Time, in *Input) *step {
	s := &step{
		Planner: p, now: now, in: in, table: in.Table, liveMembers: map[string]fulmarslot.Member{}, confirmedLost: map[string]bool{}, reportedTargets: map[string]bool{}, drainedTargets: map[string]bool{},
		targets: map[string]fulmarslot.Target{}, usableTargets: map[string][]string{}, slotCount: map[string]int{}, changedSlots: map[slotRef]bool{},
	}
	for _, m := range in.Members {
		if have, ok := s.liveMembers[m.ID]; !ok || m.Incarnation > have.Incarnation {
			s.liveMembers[m.ID] = m
		}
	}
	for _, id := range in.ConfirmedLost {
		s.confirmedLost[id] = true
	}
	for _, id := range in.DrainTargets {
		s.drainedTargets[id] = true
	}
	for _, t := range in.Targets {
		s.reportedTargets[t.ID] = true
	}
	for _, m := range in.Table.Roster() {
		if l, ok := s.liveMembers[m.ID]; ok && l.Incarnation == m.Incarnation {
			delete(s.confirmedLost, m.ID) // a live incarnation overrides the operator's confirmation
		}
	}
	for _, t := range in.Table.Targets() {
		owned, _, incoming := in.Table.SlotCounts(t.ID)
		s.targets[t.ID], s.slotCount[t.ID] = t, owned+incoming
	}
	return s
}

// add appends changes and records their reason once.
func (s *step) add(reason string, changes ...fulmarslot.Change) {
	s.out.Changes = append(s.out.Changes, changes...)
	if !slices.Contains(s.out.Reasons, reason) {
		s.out.Reasons = append(s.out.Reasons, reason)
	}
}

// requestStepBy asks for the next step at t or earlier.
func (s *step) requestStepBy(t time.Time) {
	if s.out.NextStep.IsZero() || t.Before(s.out.NextStep) {
		s.out.NextStep = t
	}
}

// reached reports whether t has been reached; if not, it requests a step at t.
func (s *step) reached(t time.Time) bool {
	if s.now.Before(t) {
		s.requestStepBy(t)
		return false
	}
	return true
}

// withClockDrift extends a wait that another clock measures by the clock-rate error of 0.1 %.
func withClockDrift(d time.Duration) time.Duration { return d + d/1000 + 1 }

// tieBreak returns a pseudo-random sort key that depends on the planner's seed.
func (p *Planner) tieBreak(service, id string) uint64 {
	x := xxhash.Sum64String(service+"\x00"+id) ^ p.seed
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}
