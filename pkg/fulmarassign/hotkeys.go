package fulmarassign

import (
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// The rate of a single key, as a multiple of what its target can do, from which the requests for it are bounded, and below which
// they no longer are.
const (
	boundedFrom  = 1.2
	boundedBelow = 1.0
)

// HotKeyRates returns the requests a second that targets can do that own a single key and are asked for more than that. Such a
// key can't be divided, so that its target's queue and connections fill up unless the requests are bounded elsewhere. bounded
// holds the targets of the last result. Targets in need are left out, as they state what they can do.
func HotKeyRates(table fulmarrange.Table, targets []Target, rates *Rates, bounded map[fulmarrange.Incarnation]float64) map[fulmarrange.Incarnation]float64 {
	out := make(map[fulmarrange.Incarnation]float64)
	var profile *Profile
	for _, s := range table.Segments() {
		if s.From != s.To || !s.HasOwner() {
			continue
		}
		i := slices.IndexFunc(targets, func(t Target) bool { return t.Incarnation == s.Owner.Incarnation })
		if i < 0 || targets[i].InNeed {
			continue
		}
		if profile == nil {
			profile = rates.Profile(0)
		}
		threshold := boundedFrom
		if _, ok := bounded[s.Owner.Incarnation]; ok {
			threshold = boundedBelow
		}
		if capacity := targets[i].capacity(); profile.Rate(s.From, s.To) > threshold*capacity {
			out[s.Owner.Incarnation] = capacity
		}
	}
	return out
}
