package fulmarforwarder

import "github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"

// chooseNewcomer returns a target that has joined and that this daemon has yet to try, and counts the request as in flight there.
// Only first sends try targets: a request that has failed once goes to one that is known.
func (x *exchange) chooseNewcomer() (t fulmarcatalog.Target, ok bool) {
	if x.sends > 0 || x.dials > 0 {
		return t, false
	}
	f := x.forwarder
	f.newcomers.Update(x.view.Catalog, x.view.Daemons)
	if !f.newcomers.Pending(x.service.Name) {
		return t, false
	}
	for t := range x.usableTargets(f.deps.Clock(), false) {
		if f.newcomers.Take(t) {
			return t, f.deps.Balancer.Acquire(t.ID, maxInFlightPerTarget)
		}
	}
	return t, false
}
