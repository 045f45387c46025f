package fulmarleader

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarevacuation"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// handoverDivisor is the part of the evacuation time in which all keys get other owners. The rest is for targets that do not
// answer the release: their keys wait until the grant lapses, which takes grantDuration.
const handoverDivisor = 2

// keepingKeys returns the evacuated targets of a service that keep their keys for now. The others hand them over, at a pace that
// the remaining targets bear. The caller holds mu.
func (t *Term) keepingKeys(now time.Time, service string, s *keyedService) map[fulmarrange.Incarnation]bool {
	holders := make(map[string][]fulmarevacuation.Holder) // by data centre
	out := make(map[fulmarrange.Incarnation]bool)
	var rates map[fulmarrange.Incarnation]float64
	for _, target := range t.snapshot.Catalog.Service(service) {
		if !target.Evacuated || target.Leaving {
			continue
		}
		if rates == nil {
			rates = fulmarassign.OwnerRates(s.orders.Table(), s.rates, fulmarassign.DefaultPolicy)
		}
		incarnation := target.Incarnation()
		rate, owns := rates[incarnation]
		if !owns {
			continue
		}
		out[incarnation] = true
		// The keys of a target that may still apply a grant cannot move yet, and must not take the place of others.
		if !s.orders.HasUnansweredGrant(now, incarnation) || s.orders.IsAnswering(incarnation) {
			holders[target.DC] = append(holders[target.DC], fulmarevacuation.Holder{
				Target: incarnation, Rate: rate, For: target.AsOf(now).EvacuatedFor,
			})
		}
	}
	if len(holders) == 0 {
		return out
	}
	schedule := fulmarevacuation.Schedule{Time: t.deps.EvacuationTime() / handoverDivisor, Step: planInterval}
	for _, list := range holders {
		for _, due := range schedule.Due(list) {
			delete(out, due)
		}
	}
	return out
}
