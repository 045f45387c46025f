package fulmargrant

import (
	"slices"
	"sync"
	"time"
)

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
	Target       string        `json:"target"`
	Service      string        `json:"service"`
	Fenced       bool          `json:"fenced"`
	Holder       string        `json:"holder"`
	Term         uint64        `json:"term"`
	Epoch        uint64        `json:"epoch"`
	Stamp        time.Duration `json:"stamp"` // the target's monotonic clock
	Remaining    time.Duration `json:"lapse"` // remaining life of the grant, zero if lapsed
	Capacity     int           `json:"slots"` // concurrent requests that the target can run
	Running      int           `json:"running"`
	Leaving      bool          `json:"leaving"`
	LastActivity time.Duration `json:"last"` // when an order was last admitted or a slot was last added, on the target's clock; zero if the target does not say
}

// Reasons of a RefusedError.
const (
	ReasonMalformed      = "malformed grant"
	ReasonTermNotCurrent = "term is not current"
	ReasonTermTaken      = "another holder has the term"
	ReasonStaleEpoch     = "epoch is lower than the one held"
	ReasonTTLOutOfBounds = "ttl is out of bounds"
	ReasonFutureStamp    = "stamp is ahead of the clock"
	ReasonSuperseded     = "a later grant of the term is in force"
	ReasonExpired        = "grant has lapsed"
	ReasonBeforeStart    = "stamp is from before the target started"
	ReasonNotGranted     = "slot is not granted"
)

// Register is the target's side of a grant; it is safe for concurrent use.
type Register struct {
	bound time.Duration
	start time.Duration

	mu    sync.Mutex
	held  Grant // the zero Grant before the first one
	stamp time.Duration
	lapse time.Duration
	last  time.Duration // when an order was last admitted or a slot was last added
}

// New returns a register that accepts no life longer than bound.
func New(bound time.Duration) *Register { return &Register{bound: bound} }

// NewAt returns a register of a target that started at start. It refuses
// stamps from before, so that the holder learns that the target was restarted
// and that work in flight was lost.
func NewAt(start, bound time.Duration) *Register { return &Register{start: start, bound: bound} }

// Apply takes over the grant, or returns an error of type *RefusedError that names the reason.
// now is the target's monotonic clock.
func (r *Register) Apply(now time.Duration, g Grant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.refusal(now, g); reason != "" {
		return &RefusedError{Reason: reason}
	}
	if g.Term > r.held.Term || g.Stamp > r.stamp {
		r.stamp = g.Stamp
	}
	g.Slots = slices.Clone(g.Slots)
	if !covers(r.held.Slots, g.Slots) {
		r.last = now
	}
	r.held = g
	r.lapse = g.Stamp + g.TTL
	return nil
}

// covers reports whether an ascending list has all elements of another one.
func covers(all, some []int) bool {
	for _, slot := range some {
		if _, ok := slices.BinarySearch(all, slot); !ok {
			return false
		}
	}
	return true
}

// refusal returns why g cannot be taken over at now, or the empty string.
func (r *Register) refusal(now time.Duration, g Grant) string {
	switch {
	case g.Holder == "" || g.Term == 0 || !slices.IsSorted(g.Slots):
		return ReasonMalformed
	case g.TTL <= 0 || g.TTL > r.bound:
		return ReasonTTLOutOfBounds
	case g.Term < r.held.Term:
		return ReasonTermNotCurrent
	case g.Term == r.held.Term && g.Holder != r.held.Holder:
		return ReasonTermTaken
	case g.Epoch < r.held.Epoch:
		return ReasonStaleEpoch
	case g.Stamp > now:
		return ReasonFutureStamp
	case g.Stamp < r.start:
		return ReasonBeforeStart
	case g.Stamp+g.TTL <= now:
		// Taking over a dead grant would displace a live holder for nothing.
		return ReasonExpired
	case g.Term == r.held.Term && g.Epoch == r.held.Epoch && r.overtaken(g):
		return ReasonSuperseded
	}
	return ""
}

// overtaken reports whether g was sent before the grant held, of the same term
// and epoch. Within an epoch a holder only gives slots up, so an older grant
// could restore a slot that was already released.
func (r *Register) overtaken(g Grant) bool {
	if g.Stamp != r.stamp {
		return g.Stamp < r.stamp
	}
	return !covers(r.held.Slots, g.Slots)
}

// Check returns nil if an order with the term for the slot may run at now, and
// notes that it does.
func (r *Register) Check(now time.Duration, term uint64, slot int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term == 0 || term != r.held.Term {
		return &RefusedError{Reason: ReasonTermNotCurrent}
	}
	if err := r.checkSlot(now, slot); err != nil {
		return err
	}
	r.last = now
	return nil
}

// CheckCommit returns nil if an order that passed Check may take effect at
// now. Its term need not be current any more: the target still owns the slot,
// and long work must survive a change of the dispatcher.
func (r *Register) CheckCommit(now time.Duration, slot int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkSlot(now, slot)
}

func (r *Register) checkSlot(now time.Duration, slot int) error {
	if now >= r.lapse {
		return &RefusedError{Reason: ReasonExpired}
	}
	if _, ok := slices.BinarySearch(r.held.Slots, slot); !ok {
		return &RefusedError{Reason: ReasonNotGranted}
	}
	return nil
}

// State returns holder, term, epoch and remaining life at now.
func (r *Register) State(now time.Duration) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Holder:       r.held.Holder,
		Term:         r.held.Term,
		Epoch:        r.held.Epoch,
		Stamp:        now,
		Remaining:    max(0, r.lapse-now),
		LastActivity: r.last,
	}
}

// RefusedError says why a grant or an order was refused.
type RefusedError struct{ Reason string }

// Error returns the message.
func (e *RefusedError) Error() string { return "fulmargrant: " + e.Reason }
