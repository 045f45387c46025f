package fulmarhistory

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Gap is the longest time in which a key went unserved.
type Gap struct {
	Service, Key string
	Length       time.Duration
	Ongoing      bool // not served again before the end of the log
}

// LongestGap returns the longest time in which a key was asked for and not
// served, over the keys with at least least calls of kind short. Keys with fewer
// calls say little, because nobody asked for them meanwhile.
//
// The time ends with the answer of a served call. It begins when the first call
// after the previous such answer was sent, or with that answer if the call that
// is served next was sent before it. A call that is answered late thus counts as
// well as one that fails, while a call that failed alone, beside served ones,
// counts only from the last of these.
func LongestGap(calls []Call, least int) Gap {
	byKey := map[[2]string][]Call{}
	for _, c := range calls {
		if c.Kind == "short" {
			k := [2]string{c.Service, c.Key}
			byKey[k] = append(byKey[k], c)
		}
	}
	var longest Gap
	for k, list := range byKey {
		if len(list) < least {
			continue
		}
		if g := gap(list); g.Length > longest.Length {
			longest = Gap{Service: k[0], Key: k[1], Length: g.Length, Ongoing: g.Ongoing}
		}
	}
	return longest
}

func gap(calls []Call) Gap {
	var answers []Call
	for _, c := range calls {
		if c.Outcome == served {
			answers = append(answers, c)
		}
	}
	slices.SortFunc(answers, func(a, b Call) int { return cmp.Compare(a.End, b.End) })
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.Start, b.Start) })
	var longest Gap
	last, next := int64(math.MinInt64), 0 // next is the first call that was sent after last
	for _, a := range answers {
		for next < len(calls) && calls[next].Start < last {
			next++
		}
		from := max(a.Start, last)
		if next < len(calls) {
			from = min(from, calls[next].Start)
		}
		if d := time.Duration(a.End - from); d > longest.Length {
			longest = Gap{Length: d}
		}
		last = a.End
	}
	for next < len(calls) && calls[next].Start < last {
		next++
	}
	var end int64
	for _, c := range calls[next:] {
		end = max(end, c.End)
	}
	if next < len(calls) && time.Duration(end-calls[next].Start) > longest.Length {
		longest = Gap{Length: time.Duration(end - calls[next].Start), Ongoing: true}
	}
	return longest
}
