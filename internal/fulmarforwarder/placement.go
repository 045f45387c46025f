package fulmarforwarder

import (
	"context"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// Chooser chooses targets by what all daemons know.
type Chooser interface {
	// RecordSharing records that targets of a service share their machines with others.
	RecordSharing(service string)
	// Choose returns a target of the service; ok is false if there is no choice in time.
	Choose(ctx context.Context, service string) (target string, ok bool)
}

// chooseTarget returns a target for a request without a key and counts the request as in flight there, or returns the reason why
// there is none. The fleet chooses the target of the first send, if it does so for the service, and the daemon by itself those of
// later ones.
func (x *exchange) chooseTarget(ctx context.Context) (fulmarcatalog.Target, Reason) {
	d := &x.forwarder.deps
	if d.Chooser == nil || x.sends+x.dials > 0 || len(x.notAdmitted) > 0 {
		return x.chooseByLoad()
	}
	if id, ok := d.Chooser.Choose(ctx, x.service.Name); ok {
		for t := range x.usableTargets(d.Clock(), false) {
			if t.ID == id && d.Balancer.Acquire(id, maxInFlightPerTarget) {
				d.Metrics.Count("relay.placed_by_fleet")
				return t, ""
			}
		}
		d.Metrics.Count("relay.placement_unusable")
	}
	return x.chooseByLoad()
}
