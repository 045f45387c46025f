package fulmarview

import (
	"slices"
	"sort"
)

// Span is a range of keys whose requests are routed to the same target.
type Span struct {
	From   int    `cbor:"from"`
	To     int    `cbor:"to"` // inclusive
	Target string `cbor:"target,omitempty"`
	Ready  bool   `cbor:"ready,omitempty"` // the target holds the keys; otherwise they are being moved
	// Bounded states that the leader gives permits for the requests, as the target is asked for more than it can do.
	Bounded bool `cbor:"bounded,omitempty"`
}

// sameRouting reports whether both spans route their keys in the same way.
func (s Span) sameRouting(o Span) bool {
	return s.Target == o.Target && s.Ready == o.Ready && s.Bounded == o.Bounded
}

// between returns the part of the span from one key to another.
func (s Span) between(from, to int) Span {
	s.From, s.To = from, to
	return s
}

// Spans is a list of spans in the order of their keys, without overlaps.
type Spans []Span

// Find returns the span of a key; ok is false if there is none.
func (s Spans) Find(key int) (Span, bool) {
	i := sort.Search(len(s), func(i int) bool { return s[i].To >= key })
	if i == len(s) || s[i].From > key {
		return Span{}, false
	}
	return s[i], true
}

// Append appends a span that follows the last one of s. Adjacent spans with the same routing are merged.
func (s Spans) Append(next Span) Spans {
	if n := len(s); n > 0 && s[n-1].sameRouting(next) && s[n-1].To+1 == next.From {
		s[n-1].To = next.To
		return s
	}
	return append(s, next)
}

// Between appends the parts of s from one key to another to dst.
func (s Spans) Between(dst Spans, from, to int) Spans {
	for i := sort.Search(len(s), func(i int) bool { return s[i].To >= from }); i < len(s) && s[i].From <= to; i++ {
		dst = dst.Append(s[i].between(max(s[i].From, from), min(s[i].To, to)))
	}
	return dst
}

// Diff returns the parts of s that old routes differently, so that old.Apply(s.Diff(old)) equals s.
func (s Spans) Diff(old Spans) Spans {
	var out Spans
	for _, next := range s {
		for i := sort.Search(len(old), func(i int) bool { return old[i].To >= next.From }); ; i++ {
			if i == len(old) || old[i].From > next.To {
				break
			}
			if next.sameRouting(old[i]) {
				continue
			}
			out = out.Append(next.between(max(next.From, old[i].From), min(next.To, old[i].To)))
		}
	}
	if len(old) == 0 {
		return slices.Clone(s)
	}
	return out
}

// Apply returns s with the changed ranges replaced. All changes lie within the keys that s covers, unless s is empty.
func (s Spans) Apply(changes Spans) Spans {
	if len(s) == 0 {
		return slices.Clone(changes)
	}
	out := make(Spans, 0, len(s)+2*len(changes))
	rest := changes
	for _, old := range s {
		from := old.From
		for len(rest) > 0 && rest[0].From <= old.To {
			c := rest[0]
			if c.From > from {
				out = out.Append(old.between(from, c.From-1))
			}
			if c.From >= old.From {
				out = out.Append(c)
			}
			from = max(from, c.To+1)
			if c.To > old.To {
				break // the change continues in the next span
			}
			rest = rest[1:]
		}
		if from <= old.To {
			out = out.Append(old.between(from, old.To))
		}
	}
	return out
}
