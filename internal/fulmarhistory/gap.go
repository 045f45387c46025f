package fulmarhistory

import (
	"cmp"
	"slices"
	"time"
)

// Gap is the longest time in which a key went unserved.
type Gap struct {
	Service, Key string
	Length       time.Duration
	Open         bool // not served again before the end of the log
}

// LongestGap returns the longest time from the sending of the first attempt that
// was not served to the end of the next served one, over the keys with at least
// least calls of kind short. Keys with fewer calls say little, because nobody
// asked for them meanwhile.
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
			longest = Gap{Service: k[0], Key: k[1], Length: g.Length, Open: g.Open}
		}
	}
	return longest
}

func gap(calls []Call) Gap {
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.End, b.End) })
	var longest Gap
	var from int64
	for _, c := range calls {
		switch {
		case c.Outcome == served:
			if d := time.Duration(c.End - from); from != 0 && d > longest.Length {
				longest = Gap{Length: d}
			}
			from = 0
		case from == 0:
			from = c.Start
		}
	}
	if from != 0 {
		if d := time.Duration(calls[len(calls)-1].End - from); d > longest.Length {
			longest = Gap{Length: d, Open: true}
		}
	}
	return longest
}
