package fulmarrange

import "slices"

// Change gives the keys from From to To to another owner; both bounds are inclusive.
type Change struct {
	From, To int
	Owner    Incarnation
}

// edit is a change of the segments between two keys.
type edit struct {
	from, to int // inclusive
	change   func(*Segment)
}

// WithOwners returns the table after a WithOwner for each of the changes, which must not overlap and be in the order of their keys.
// It reads the table once: after the loss of a data centre there are thousands of changes.
func (t Table) WithOwners(changes []Change) Table {
	edits := make([]edit, 0, len(changes))
	for i, c := range changes {
		claim := Claim{Incarnation: c.Owner, Fence: t.fence + int64(i) + 1}
		if c.Owner.ID == "" {
			claim = Claim{}
		}
		edits = append(edits, edit{c.From, c.To, func(s *Segment) {
			if s.HasOwner() {
				s.PriorClaims = append(slices.Clone(s.PriorClaims), s.Owner)
			}
			s.Owner = claim
		}})
	}
	return t.editAll(edits, t.fence+int64(len(changes)))
}

// WithRenewedFences returns the table after a WithRenewedFence for each of the segments, which must be in the order of their keys.
func (t Table) WithRenewedFences(segments []Segment) Table {
	edits := make([]edit, 0, len(segments))
	for i, renewed := range segments {
		fence := t.fence + int64(i) + 1
		edits = append(edits, edit{renewed.From, renewed.To, func(s *Segment) { s.Owner.Fence = fence }})
	}
	return t.editAll(edits, t.fence+int64(len(segments)))
}

// WithoutPriorClaims returns the table without the prior claims of the segments, which must be in the order of their keys. Claims
// that the table has beside those of a segment are kept.
func (t Table) WithoutPriorClaims(segments []Segment) Table {
	edits := make([]edit, 0, len(segments))
	for _, obsolete := range segments {
		edits = append(edits, edit{obsolete.From, obsolete.To, func(s *Segment) {
			for _, claim := range obsolete.PriorClaims {
				s.removePriorClaim(claim)
			}
		}})
	}
	return t.editAll(edits, t.fence)
}

// removePriorClaim removes a claim from the prior ones.
func (s *Segment) removePriorClaim(claim Claim) {
	s.PriorClaims = slices.DeleteFunc(slices.Clone(s.PriorClaims), func(c Claim) bool { return c == claim })
	if len(s.PriorClaims) == 0 {
		s.PriorClaims = nil
	}
}

// editAll applies changes to the segments, splitting them at the bounds of the changes, and merges adjacent segments with equal
// owners and prior claims. It panics unless the changes are in the order of their keys and do not overlap.
func (t Table) editAll(edits []edit, fence int64) Table {
	next := 0
	for _, e := range edits {
		if e.from < next || e.to > MaxKey || e.from > e.to {
			panic("fulmarrange: invalid key range")
		}
		next = e.to + 1
	}
	out := make([]Segment, 0, len(t.segments)+2*len(edits))
	for _, s := range t.segments {
		for ; len(edits) > 0 && edits[0].from <= s.To; edits = edits[1:] {
			e := edits[0]
			if s.From < e.from {
				out = appendMerged(out, s.between(s.From, e.from-1))
			}
			changed := s.between(max(s.From, e.from), min(s.To, e.to))
			e.change(&changed)
			out = appendMerged(out, changed)
			s.From = changed.To + 1
			if e.to >= s.From {
				break // the change goes on in the next segment
			}
		}
		if s.From <= s.To {
			out = appendMerged(out, s)
		}
	}
	return Table{segments: out, fence: fence, extendedGrants: t.extendedGrants}
}

// between returns the part of the segment from one key to another.
func (s Segment) between(from, to int) Segment {
	s.From, s.To = from, to
	return s
}
