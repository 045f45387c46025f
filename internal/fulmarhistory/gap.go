package fulmarhistory

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Gap is the longest period in which calls for a key were sent but none was served.
type Gap struct {
	Service, Key string
	Length       time.Duration
	Ongoing      bool // the key was not served again before the end of the log
}

// LongestGap returns the longest gap over all keys with at least minCalls calls of
// kind short. Keys with fewer calls are ignored: between their calls nothing was
// sent that could have been served.
//
// A gap ends with the answer of a served call. It begins when the first call after
// the previous served answer was sent, or with that answer if the next served call
// was sent before it. Late answers therefore count like failures, and a single
// failed call among served ones counts only from the last served answer.
func LongestGap(calls []Call, minCalls int) Gap {
	byKey := map[[2]string][]Call{}
	for _, c := range calls {
		if c.Kind == "short" {
			k := [2]string{c.Service, c.Key}
			byKey[k] = append(byKey[k], c)
		}
	}
	var longest Gap
	for k, list := range byKey {
		if len(list) < minCalls {
			continue
		}
		if g := longestGapOfKey(list); g.Length > longest.Length {
			longest = Gap{Service: k[0], Key: k[1], Length: g.Length, Ongoing: g.Ongoing}
		}
	}
	return longest
}

// longestGapOfKey returns the longest gap in the calls for one key.
func longestGapOfKey(calls []Call) Gap {
	var answers []Call
	for _, c := range calls {
		if c.Outcome == served {
			answers = append(answers, c)
		}
	}
	slices.SortFunc(answers, func(a, b Call) int { return cmp.Compare(a.End, b.End) })
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.Start, b.Start) })
	var longest Gap
	last, next := int64(math.MinInt64), 0 // last is the end of the latest served answer, next the index of the first call sent after it
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
	var lastEnd int64
	for _, c := range calls[next:] {
		lastEnd = max(lastEnd, c.End)
	}
	if next < len(calls) && time.Duration(lastEnd-calls[next].Start) > longest.Length {
		longest = Gap{Length: time.Duration(lastEnd - calls[next].Start), Ongoing: true}
	}
	return longest
}
