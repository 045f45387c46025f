package fulmargrant

import "time"

// Grant asks a target to take orders from one holder for a set of slots.
type Grant struct {
	Holder string        `json:"holder"`
	Term   uint64        `json:"term"`
	Epoch  uint64        `json:"epoch"`
	Slots  []int         `json:"slots"` // ascending
	Stamp  time.Duration `json:"stamp"` // last stamp received from the target
	TTL    time.Duration `json:"ttl"`
}

// State is what a target says of its grant.
type State struct {
	Target  string        `json:"target"`
	Service string        `json:"service"`
	Fenced  bool          `json:"fenced"`
	Holder  string        `json:"holder"`
	Term    uint64        `json:"term"`
	Epoch   uint64        `json:"epoch"`
	Stamp   time.Duration `json:"stamp"` // the target's monotonic clock
	Lapse   time.Duration `json:"lapse"` // remaining life of the grant, zero if lapsed
	Slots   int           `json:"slots"` // concurrent requests that the target can run
	Running int           `json:"running"`
	Leaving bool          `json:"leaving"`
}

// Register is the target's side of a grant; it is safe for concurrent use.
type Register struct{}

// New returns a register that accepts no life longer than bound.
func New(bound time.Duration) *Register { panic("fulmargrant: not implemented") }

// Apply takes over the grant, or returns an error of type *RefusedError that names the reason.
// now is the target's monotonic clock.
func (r *Register) Apply(now time.Duration, g Grant) error { panic("fulmargrant: not implemented") }

// Check returns nil if an order with the term for the slot may run at now.
func (r *Register) Check(now time.Duration, term uint64, slot int) error {
	panic("fulmargrant: not implemented")
}

// State returns holder, term, epoch and remaining life at now.
func (r *Register) State(now time.Duration) State { panic("fulmargrant: not implemented") }

// RefusedError says why a grant or an order was refused.
type RefusedError struct{ Reason string }

// Error returns the message.
func (e *RefusedError) Error() string { return "fulmargrant: " + e.Reason }
