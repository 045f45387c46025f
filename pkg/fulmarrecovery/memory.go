package fulmarrecovery

import (
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Memory is what the last leader of an era knows of all grants that were sent in it and before. It is immutable.
type Memory struct {
	Era     fulmarera.Era                // that followed, in which the memory is of use
	Tables  map[string]fulmarrange.Table // by service
	Lapse   time.Time                    // by which all grants have lapsed
	Writers []fulmarera.Revision         // terms whose tables a copy of the former era may hold
}

// IsOf reports whether the memory is of use in the era; m may be nil.
func (m *Memory) IsOf(e fulmarera.Era) bool { return m != nil && m.Era == e }

// IsLast reports whether a leader whose lease is certain to last until validUntil was the last one of its era, as known at now. The
// lease, as the store had it in that era, outlasts the era if the next one has begun before validUntil, and nobody else was elected
// meanwhile. If an era between the two was missed, somebody may have led in it.
func IsLast(era *fulmarera.State, next fulmarera.Era, now, validUntil time.Time) bool {
	return era.HasEnded() && next == era.Era+1 && now.Before(validUntil)
}

// Basis is what a leader takes for the state of earlier grants.
type Basis int

// Bases.
const (
	Stored     Basis = iota // the stored tables
	Remembered              // the leader's own memory of the former era
	Held                    // nothing: keys are granted only after all earlier grants have lapsed
)

// String returns the name of the basis in lower case.
func (b Basis) String() string { return [...]string{"stored", "remembered", "held"}[b] }

// Start is what a new leader knows at its first read of the store.
type Start struct {
	Era      *fulmarera.State
	Writer   fulmarera.Revision // term that wrote the stored tables, zero for none
	Memory   *Memory            // nil for none
	Led      time.Time          // when this daemon first knew of a term of the era, zero if it knew none before its own
	LeaseTTL time.Duration      // longest time for which a lease lasts without a renewal
	MaxHold  time.Duration      // longest time for which a target holds keys under a grant that was sent before now
	// First states that the fleet starts for the first time, so that nobody has granted keys unless there are tables.
	First bool
}

// Choose returns the basis on which a leader may act from now on, and for Held the time until which it grants no keys and writes no
// tables. It must write the tables in any case before it grants keys.
func (s Start) Choose(now time.Time) (b Basis, heldUntil time.Time) {
	switch {
	case s.Writer.Era() == s.Era.Era:
		return Stored, time.Time{}
	case s.Memory.IsOf(s.Era.Era) && (s.Writer == 0 || slices.Contains(s.Memory.Writers, s.Writer)):
		return Remembered, time.Time{}
	case s.Writer.Era() == 0 && s.Era.Former == 0 && (s.Writer != 0 || s.First || s.Era.Era == 0):
		// Nothing tells that there was a restore: the tables are missing at the first start, or were written by a leader of an earlier
		// build. Later, missing tables mean that the copy is older than the first ones.
		return Stored, time.Time{}
	}
	// The leases of former eras, and the orders of their leaders, end within their time to live after the begin of this one. A leader
	// of an earlier build may go on by a lease that the copy holds, until another one is elected.
	ended, elected := s.Era.Since.Add(s.LeaseTTL), now
	if !s.Led.IsZero() {
		elected = s.Led
	}
	if ended.Before(elected) {
		ended = elected
	}
	return Held, ended.Add(s.MaxHold)
}
