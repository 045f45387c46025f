package fulmarrange

import (
	"slices"
	"sort"

	"github.com/pkg/errors"
)

// Last is the greatest key.
const MaxKey = 65535

// Life is one start of a target. The same id with another start holds nothing of before.
type Incarnation struct {
	ID   string `cbor:"id"`
	Born int64  `cbor:"born"`
}

// Claim is a life that holds keys, or may hold them, under a fence.
type Claim struct {
	Incarnation Incarnation `cbor:"life"`
	Fence       int64       `cbor:"fence"`
}

// Segment is a range of keys with one owner.
type Segment struct {
	From        int     `cbor:"from"`
	To          int     `cbor:"to"` // inclusive
	Owner       Claim   `cbor:"owner"`
	PriorClaims []Claim `cbor:"prior,omitempty"` // earlier owners that may still hold the keys
}

// Owned reports whether the segment has an owner.
func (s Segment) HasOwner() bool { return s.Owner.Incarnation.ID != "" }

// Keys returns the number of keys of the segment.
func (s Segment) Keys() int { return s.To - s.From + 1 }

// Table is a division of the key space; it is immutable, and its zero value is not valid.
type Table struct {
	segments []Segment
	fence    int64
	extended bool
}

// New returns a table of one segment without an owner.
func New() Table { return Table{segments: []Segment{{From: 0, To: MaxKey}}} }

// Restore returns the table with the given segments, which must cover the key
// space in order without gaps. Fences up to fence count as used.
func Restore(segments []Segment, fence int64) (Table, error) {
	next := 0
	for _, s := range segments {
		if s.From != next || s.To < s.From || s.To > MaxKey {
			return Table{}, errors.Errorf("fulmarrange: segment %d to %d does not continue at %d", s.From, s.To, next)
		}
		next = s.To + 1
		fence = max(fence, s.Owner.Fence)
		for _, p := range s.PriorClaims {
			fence = max(fence, p.Fence)
		}
	}
	if next != MaxKey+1 {
		return Table{}, errors.Errorf("fulmarrange: segments end at %d", next-1)
	}
	return Table{segments: slices.Clone(segments), fence: fence}, nil
}

// Segments returns the segments in the order of their keys; the caller must not modify them.
func (t Table) Segments() []Segment { return t.segments }

// Fence returns the greatest fence used so far.
func (t Table) MaxFence() int64 { return t.fence }

// Extended reports whether prior owners may take their keys late by grants of more than the usual time.
func (t Table) ExtendedGrants() bool { return t.extended }

// WithExtended returns the table with the given answer to Extended.
func (t Table) WithExtendedGrants(extended bool) Table {
	t.extended = extended
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

func (t Table) index(key int) int {
	return sort.Search(len(t.segments), func(i int) bool { return t.segments[i].To >= key })
}

// WithOwner returns a table in which life owns the keys from to to under a new
// fence. Owners of before become prior owners, also if life itself owned the keys.
// The zero Life takes the keys from their owners without a new one.
func (t Table) WithOwner(from, to int, life Incarnation) Table {
	fence := t.fence + 1
	return t.edit(from, to, fence, func(s *Segment) {
		if s.HasOwner() {
			s.PriorClaims = append(slices.Clone(s.PriorClaims), s.Owner)
		}
		s.Owner = Claim{Incarnation: life, Fence: fence}
		if life.ID == "" {
			s.Owner = Claim{}
		}
	})
}

// WithRenewedFence returns a table in which the owner of exactly the keys from to to gets a
// new fence and no prior owner is added. The owner must hold all of the keys without prior owners.
func (t Table) WithRenewedFence(from, to int) Table {
	fence := t.fence + 1
	return t.edit(from, to, fence, func(s *Segment) { s.Owner.Fence = fence })
}

// WithoutPrior returns a table in which the claim no longer counts for the keys from to to.
func (t Table) WithoutPriorClaim(from, to int, claim Claim) Table {
	return t.edit(from, to, t.fence, func(s *Segment) {
		s.PriorClaims = slices.DeleteFunc(slices.Clone(s.PriorClaims), func(c Claim) bool { return c == claim })
		if len(s.PriorClaims) == 0 {
			s.PriorClaims = nil
		}
	})
}

// edit applies change to the segments between from and to, which are cut at these keys,
// and joins neighbours that have become equal.
func (t Table) edit(from, to int, fence int64, change func(*Segment)) Table {
	if from < 0 || to > MaxKey || from > to {
		panic("fulmarrange: bad range")
	}
	out := make([]Segment, 0, len(t.segments)+2)
	for _, s := range t.segments {
		if s.To < from || s.From > to {
			out = join(out, s)
			continue
		}
		if s.From < from {
			left := s
			left.To = from - 1
			out = join(out, left)
		}
		mid := s
		mid.From, mid.To = max(s.From, from), min(s.To, to)
		change(&mid)
		out = join(out, mid)
		if s.To > to {
			right := s
			right.From = to + 1
			out = join(out, right)
		}
	}
	return Table{segments: out, fence: fence, extended: t.extended}
}

// join appends s, or extends the last segment if it has the same owner and prior owners.
func join(dst []Segment, s Segment) []Segment {
	if n := len(dst); n > 0 {
		last := &dst[n-1]
		if last.Owner == s.Owner && slices.Equal(last.PriorClaims, s.PriorClaims) && last.To+1 == s.From {
			last.To = s.To
			return dst
		}
	}
	return append(dst, s)
}
