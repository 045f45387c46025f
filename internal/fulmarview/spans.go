package fulmarview

import (
	"slices"
	"sort"
)

// Span is a range of keys as requests are routed.
type Span struct {
	From   int    `cbor:"from"`
	To     int    `cbor:"to"` // inclusive
	Target string `cbor:"target,omitempty"`
	Ready  bool   `cbor:"ready,omitempty"` // the target holds the keys; otherwise they are on the move
}

// alike reports whether both spans route their keys in the same way.
func (s Span) alike(o Span) bool { return s.Target == o.Target && s.Ready == o.Ready }

// Spans cover the key space in order.
type Spans []Span

// Find returns the span of a key; ok is false if there is none.
func (s Spans) Find(key int) (Span, bool) {
	i := sort.Search(len(s), func(i int) bool { return s[i].To >= key })
	if i == len(s) || s[i].From > key {
		return Span{}, false
	}
	return s[i], true
}

// Join appends a span that follows the last one of dst; spans that are routed alike become one.
func (s Spans) Append(next Span) Spans {
	if n := len(s); n > 0 && s[n-1].alike(next) && s[n-1].To+1 == next.From {
		s[n-1].To = next.To
		return s
	}
	return append(s, next)
}

// Diff returns the parts of s that old routes differently; With makes s of old and them.
func (s Spans) Diff(old Spans) Spans {
	var out Spans
	for _, next := range s {
		for i := sort.Search(len(old), func(i int) bool { return old[i].To >= next.From }); ; i++ {
			if i == len(old) || old[i].From > next.To {
				break
			}
			if next.alike(old[i]) {
				continue
			}
			part := next
			part.From, part.To = max(next.From, old[i].From), min(next.To, old[i].To)
			out = out.Append(part)
		}
	}
	if len(old) == 0 {
		return slices.Clone(s)
	}
	return out
}

// With returns the spans with changes in their place; both cover the same key space.
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
				out = out.Append(Span{From: from, To: c.From - 1, Target: old.Target, Ready: old.Ready})
			}
			if c.From >= old.From {
				out = out.Append(c)
			}
			from = max(from, c.To+1)
			if c.To > old.To {
				break // the change goes on in the next span
			}
			rest = rest[1:]
		}
		if from <= old.To {
			out = out.Append(Span{From: from, To: old.To, Target: old.Target, Ready: old.Ready})
		}
	}
	return out
}
