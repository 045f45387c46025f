package fulmarassign

import "github.com/fulmarbend/fulmarbend/pkg/fulmarrange"

// OwnerRates returns the request rates of the keys of each owner.
func OwnerRates(table fulmarrange.Table, rates *Rates, policy Policy) map[fulmarrange.Incarnation]float64 {
	profile := rates.Profile(policy.UniformShare)
	out := make(map[fulmarrange.Incarnation]float64)
	for _, s := range table.Segments() {
		if s.HasOwner() {
			out[s.Owner.Incarnation] += profile.Rate(s.From, s.To)
		}
	}
	return out
}
