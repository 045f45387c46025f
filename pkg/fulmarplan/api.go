package fulmarplan

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// Policy has the bounds of the planner.
type Policy struct {
	Moving     int           // most slots moving at once
	Window     time.Duration // window of the quorum lease
	TTL        time.Duration // longest life of a grant after its stamp
	Order      time.Duration // longest deadline of an order to a target that checks no fence
	Stuck      time.Duration // a cooperative move older than this is cancelled
	Settle     time.Duration // least time between moves of one slot for balance
	Imbalance  float64       // ratio of maximum to mean load from which load is rebalanced
	HotKeys    int           // most hot keys
	Quarantine time.Duration // how long a fingerprint stays condemned
	Down       time.Duration // a member down for this long leaves the roster
}

// Ack is a member's word on the newest table that it has.
type Ack struct {
	Epoch       uint64
	Incarnation uint64
	Lapse       map[string]time.Time // for each target: until when a grant of this member may last
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
	Table    fulmarslot.Table
	Services map[string]int      // slots of each service by configuration
	Targets  []fulmarslot.Target // targets that the platform's list or a peer reports, fence support known
	Members  []fulmarslot.Member // members heard within the failure detector's timeout, self included
	Acks     map[string]Ack      // by member id
	Losses   []Loss
	Releases []Release
	Loads    []Load
	Drain    []string // targets that operators drain
	Confirm  []string // members whose loss an operator has confirmed
	Lift     []uint64 // fingerprints that an operator lifts
}

// Output is the result of a step.
type Output struct {
	Changes []fulmarslot.Change
	Reasons []string  // one for each kind of change, for the log
	Wake    time.Time // when to step again at the latest, zero if only news can change anything
}

// Planner decides changes of the slot table; it is not safe for concurrent use.
type Planner struct{}

// New returns a planner; seed makes its choices between equals repeatable.
func New(policy Policy, seed uint64) *Planner { panic("fulmarplan: not implemented") }

// Step returns the changes to make next, as one compare-and-swap of the table.
func (p *Planner) Step(now time.Time, in Input) Output { panic("fulmarplan: not implemented") }
