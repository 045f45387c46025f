package fulmarrange

import (
	"slices"
	"sort"

	"github.com/pkg/errors"
)

// MaxKey is the greatest key.
const MaxKey = 65535

// Incarnation identifies one run of a target process. A process that restarts with the same id is a new
// incarnation and holds none of the keys of the previous one.
type Incarnation struct {
	ID   string `cbor:"id"`
	Born int64  `cbor:"born"`
}

// Claim states that an incarnation holds, or may hold, keys under a fence.
type Claim struct {
	Incarnation Incarnation `cbor:"life"`
	Fence       int64       `cbor:"fence"`
}

// Segment is a range of keys with one owner.
type Segment struct {
	From        int     `cbor:"from"`
	To          int     `cbor:"to"` // inclusive
	Owner       Claim   `cbor:"owner"`
	PriorClaims []Claim `cbor:"prior,omitempty"` // claims of previous owners that may still hold the keys
}

// HasOwner reports whether the segment has an owner.
func (s Segment) HasOwner() bool { return s.Owner.Incarnation.ID != "" }

// Keys returns the number of keys of the segment.
func (s Segment) Keys() int { return s.To - s.From + 1 }

// Table divides the key space into segments. It is immutable, and its zero value is not valid.
type Table struct {
	segments       []Segment
	fence          int64
	extendedGrants bool
}

// New returns a table of one segment without an owner.
func New() Table { return Table{segments: []Segment{{From: 0, To: MaxKey}}} }

// Restore returns the table with the given segments, which must cover the key
// space in order without gaps or overlaps. Fences up to fence count as used.
func Restore(segments []Segment, fence int64) (Table, error) {
	next := 0
	for _, s := range segments {
		if s.From != next || s.To < s.From || s.To > MaxKey {
			return Table{}, errors.Errorf("fulmarrange: segment %d to %d does not start at key %d or ends out of range", s.From, s.To, next)
		}
		next = s.To + 1
		fence = max(fence, s.Owner.Fence)
		for _, p := range s.PriorClaims {
			fence = max(fence, p.Fence)
		}
	}
	if next != MaxKey+1 {
		return Table{}, errors.Errorf("fulmarrange: segments end at key %d instead of the last key", next-1)
	}
	return Table{segments: slices.Clone(segments), fence: fence}, nil
}

// Segments returns the segments in the order of their keys; the caller must not modify them.
func (t Table) Segments() []Segment { return t.segments }

// MaxFence returns the greatest fence used so far.
func (t Table) MaxFence() int64 { return t.fence }

// WithUsedFences returns a table in which all fences up to fence count as used.
func (t Table) WithUsedFences(fence int64) Table {
	t.fence = max(t.fence, fence)
	return t
}

// ExtendedGrants reports whether prior owners may still apply unanswered grants of more than the normal duration.
func (t Table) ExtendedGrants() bool { return t.extendedGrants }

// WithExtendedGrants returns the table with the given value of ExtendedGrants.
func (t Table) WithExtendedGrants(extended bool) Table {
	t.extendedGrants = extended
	return t
}

// Len returns the number of segments.
func (t Table) Len() int { return len(t.segments) }

// Find returns the segment of a key; it panics if the key is out of range.
func (t Table) Find(key int) Segment {
	if key < 0 || key > MaxKey {
		panic("fulmarrange: key out of range")
	}
	return t.segments[t.index(key)]
}

// Overlapping returns the segments that have keys of a range, in their order; the caller must not modify them. Both bounds are
// inclusive.
func (t Table) Overlapping(from, to int) []Segment {
	return t.segments[t.index(from):min(t.index(to)+1, len(t.segments))]
}

func (t Table) index(key int) int {
	return sort.Search(len(t.segments), func(i int) bool { return t.segments[i].To >= key })
}

// WithOwner returns a table in which owner owns the keys from from to to under a new
// fence. Previous owners become prior claims, even if owner itself owned the keys.
// The zero Incarnation leaves the keys without an owner.
func (t Table) WithOwner(from, to int, owner Incarnation) Table {
	return t.WithOwners([]Change{{from, to, owner}})
}

// WithRenewedFence returns a table in which the owner of exactly the keys from to to gets a
// new fence and no prior claim is added. The owner must hold all of the keys without prior claims.
func (t Table) WithRenewedFence(from, to int) Table {
	fence := t.fence + 1
	return t.edit(from, to, fence, func(s *Segment) { s.Owner.Fence = fence })
}

// WithoutPriorClaim returns a table in which the claim is removed from the prior claims of the keys from
// from to to.
func (t Table) WithoutPriorClaim(from, to int, claim Claim) Table {
	return t.edit(from, to, t.fence, func(s *Segment) { s.removePriorClaim(claim) })
}

// edit applies change to the segments between from and to; see editAll.
func (t Table) edit(from, to int, fence int64, change func(*Segment)) Table {
	return t.editAll([]edit{{from, to, change}}, fence)
}

// appendMerged appends s, or extends the last segment if it has the same owner and prior claims.
func appendMerged(dst []Segment, s Segment) []Segment {
	if n := len(dst); n > 0 {
		last := &dst[n-1]
		if last.Owner == s.Owner && slices.Equal(last.PriorClaims, s.PriorClaims) && last.To+1 == s.From {
			last.To = s.To
			return dst
		}
	}
	return append(dst, s)
}
