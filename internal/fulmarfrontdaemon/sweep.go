package fulmarfrontdaemon

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarretention"
)

// sweep regularly closes expired idle connections and drops the data of targets that left the catalog.
func (f *Daemon) sweep(ctx context.Context) {
	recent := fulmarretention.New(time.Now(), targetRetention)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.requestPool.CloseExpired(now)
			f.crashes.Expire(fulmarclock.Now())
			v := f.views.Get()
			if v.Routes != nil {
				f.hedger.Retain(v.Routes.Names())
			}
			c := v.Catalog
			if c != nil {
				f.evacuations.Update()
			}
			if c != nil && recent.Advance(now, c) {
				f.balancer.Retain(recent.Has)
				f.placer.Retain(recent.Has)
				f.targetLimits.Retain(recent.Has)
				f.coldness.Retain(recent.Has)
				f.notices.Retain(recent.Has)
				f.gate.Retain(recent.Has)
			}
		case <-ctx.Done():
			return
		}
	}
}

// recordEndedTargets regularly records which targets have ended under requests that they had not answered.
func (f *Daemon) recordEndedTargets(ctx context.Context) {
	for fulmarclock.Sleep(ctx, sweepInterval) {
		if c := f.views.Get().Catalog; c != nil {
			f.forwarder.RecordEndedTargets(ctx, c)
		}
	}
}
