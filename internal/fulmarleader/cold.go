package fulmarleader

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// coldKeyShare is the part of what a cold target takes that the plan leaves it of its keys, whose rates vary.
const coldKeyShare = 0.7

// withColdness returns a target with the capacity that it has while it is cold, which gets no keys meanwhile that others can
// have. With a few of them, it would keep to these after its warm-up: a plan gives a target without keys its whole share at once, but
// one that has some only what outweighs the cost of the moves. There is no memory as for limits: coldness ends at a known time and does
// not come back with the load.
func (t *Term) withColdness(now time.Time, listed fulmarcatalog.Target, target fulmarassign.Target) fulmarassign.Target {
	if t.snapshot.Routes == nil {
		return target
	}
	service, _ := t.snapshot.Routes.Service(listed.Service)
	rate, cold := t.deps.Coldness.RateOf(listed, service, now)
	if !cold {
		return target
	}
	target = target.WithLimit(coldKeyShare * rate)
	target.InNeed = true
	return target
}

// logCold logs how many targets of each service are cold, of those whose requests are bounded meanwhile, if that has changed. The
// caller holds mu.
func (t *Term) logCold(now time.Time) {
	if t.snapshot.Routes == nil {
		return
	}
	for _, service := range t.snapshot.Routes.Config().Services {
		if service.ColdRate <= 0 {
			continue
		}
		cold := 0
		for _, target := range t.snapshot.Catalog.Service(service.Name) {
			if t.deps.Coldness.IsCold(target, service, now) {
				cold++
			}
		}
		if before := t.coldTargets[service.Name]; cold != before {
			t.coldTargets[service.Name] = cold
			t.deps.Log.Info("number of cold targets changed", "service", service.Name, "cold", cold, "before", before, "rate", service.ColdRate)
		}
	}
}
