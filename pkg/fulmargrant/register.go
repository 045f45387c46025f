package fulmargrant

import (
	"slices"
	"sync"
	"time"
)

// Grant is a request to a target to accept orders from one holder for a set of slots.
type Grant struct {
	Holder string        `json:"holder"`
	Term   uint64        `json:"term"`
	Epoch  uint64        `json:"epoch"`
	Slots  []int         `json:"slots"` // ascending
	Stamp  time.Duration `json:"stamp"` // latest time received from the target, on its monotonic clock
	TTL    time.Duration `json:"ttl"`
}

// State describes a target and its current grant, as reported by the target.
type State struct {
	Target       string        `json:"target"`
	Service      string        `json:"service"`
	Fenced       bool          `json:"fenced"`
	Holder       string        `json:"holder"`
	Term         uint64        `json:"term"`
	Epoch        uint64        `json:"epoch"`
	Stamp        time.Duration `json:"stamp"` // the target's monotonic clock
	Remaining    time.Duration `json:"lapse"` // time until the grant expires, zero if it has expired
	Capacity     int           `json:"slots"` // maximum number of concurrent requests
	Running      int           `json:"running"`
	Leaving      bool          `json:"leaving"`
	LastActivity time.Duration `json:"last"` // when an order was last admitted or a slot was last added, on the target's clock; zero if not reported
}

// Values of RefusedError.Reason.
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

// Register holds the grant in force at a target and checks orders against it. It is
// safe for concurrent use.
type Register struct {
	maxTTL time.Duration
	start  time.Duration

	mu           sync.Mutex
	current      Grant // zero until the first grant is applied
	latestStamp  time.Duration
	expiry       time.Duration
	lastActivity time.Duration // when an order was last admitted or a slot was last added
}

// New returns a register that refuses grants with a TTL above maxTTL.
func New(maxTTL time.Duration) *Register { return &Register{maxTTL: maxTTL} }

// NewAt returns a register for a target that started at start. The register
// refuses grants with an earlier stamp, so that the holder detects the restart
// and treats its work in flight as lost.
func NewAt(start, maxTTL time.Duration) *Register { return &Register{start: start, maxTTL: maxTTL} }

// Apply replaces the current grant by g, or returns a *RefusedError with the reason.
// now is a reading of the target's monotonic clock.
func (r *Register) Apply(now time.Duration, g Grant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.refusalReason(now, g); reason != "" {
		return &RefusedError{Reason: reason}
	}
	if g.Term > r.current.Term || g.Stamp > r.latestStamp {
		r.latestStamp = g.Stamp
	}
	g.Slots = slices.Clone(g.Slots)
	if !containsAll(r.current.Slots, g.Slots) {
		r.lastActivity = now
	}
	r.current = g
	r.expiry = g.Stamp + g.TTL
	return nil
}

// containsAll reports whether all, which is ascending, contains every element of some.
func containsAll(all, some []int) bool {
	for _, slot := range some {
		if _, ok := slices.BinarySearch(all, slot); !ok {
			return false
		}
	}
	return true
}

// refusalReason returns why g can't be applied at now, or an empty string if it can.
func (r *Register) refusalReason(now time.Duration, g Grant) string {
	switch {
	case g.Holder == "" || g.Term == 0 || !slices.IsSorted(g.Slots):
		return ReasonMalformed
	case g.TTL <= 0 || g.TTL > r.maxTTL:
		return ReasonTTLOutOfBounds
	case g.Term < r.current.Term:
		return ReasonTermNotCurrent
	case g.Term == r.current.Term && g.Holder != r.current.Holder:
		return ReasonTermTaken
	case g.Epoch < r.current.Epoch:
		return ReasonStaleEpoch
	case g.Stamp > now:
		return ReasonFutureStamp
	case g.Stamp < r.start:
		return ReasonBeforeStart
	case g.Stamp+g.TTL <= now:
		// An expired grant would displace the current holder without giving
		// the new one any time to use it.
		return ReasonExpired
	case g.Term == r.current.Term && g.Epoch == r.current.Epoch && r.superseded(g):
		return ReasonSuperseded
	}
	return ""
}

// superseded reports whether g was sent before the current grant, which has the
// same term and epoch. Within an epoch a holder only releases slots, so an older
// grant could restore a slot that was already released.
func (r *Register) superseded(g Grant) bool {
	if g.Stamp != r.latestStamp {
		return g.Stamp < r.latestStamp
	}
	return !containsAll(r.current.Slots, g.Slots)
}

// Check returns nil if an order with the given term and slot may start at now. It
// then records now as the last activity.
func (r *Register) Check(now time.Duration, term uint64, slot int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term == 0 || term != r.current.Term {
		return &RefusedError{Reason: ReasonTermNotCurrent}
	}
	if err := r.checkSlot(now, slot); err != nil {
		return err
	}
	r.lastActivity = now
	return nil
}

// CheckCommit returns nil if the effect of an order that passed Check may be
// applied at now. The order's term may be outdated: the target still owns the
// slot, and long work must survive a change of the dispatcher.
func (r *Register) CheckCommit(now time.Duration, slot int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkSlot(now, slot)
}

func (r *Register) checkSlot(now time.Duration, slot int) error {
	if now >= r.expiry {
		return &RefusedError{Reason: ReasonExpired}
	}
	if _, ok := slices.BinarySearch(r.current.Slots, slot); !ok {
		return &RefusedError{Reason: ReasonNotGranted}
	}
	return nil
}

// State returns the fields of State that the register knows: holder, term, epoch,
// time until expiry and last activity. Stamp is set to now.
func (r *Register) State(now time.Duration) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Holder:       r.current.Holder,
		Term:         r.current.Term,
		Epoch:        r.current.Epoch,
		Stamp:        now,
		Remaining:    max(0, r.expiry-now),
		LastActivity: r.lastActivity,
	}
}

// RefusedError reports why a grant or an order was refused.
type RefusedError struct{ Reason string }

// Error returns the reason with the package prefix.
func (e *RefusedError) Error() string { return "fulmargrant: " + e.Reason }
