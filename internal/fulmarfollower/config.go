package fulmarfollower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

const (
	// leaderConfigAge is the age of the configuration at which the leader reads it apart from everything else: its reads of all
	// keys, every 0.5 s, take over 0.2 s then.
	leaderConfigAge = 700 * time.Millisecond
	// maxConfigAge is the age at which another daemon reads it itself. It allows for leaderConfigAge and for two waits for a
	// change, at the leader and at a relay, so that no daemon reads it while these answer. It lies below the shortest time in
	// which the users expect a configuration to be in force, 2 s.
	maxConfigAge = 1400 * time.Millisecond
	// configCheckInterval is the longest time between two checks of the age, and the first delay after a failed read.
	configCheckInterval = 250 * time.Millisecond
	// configBandwidth bounds what all daemons together read when none of them gets the configuration from another one, in
	// bytes per second: a quarter of the store's link.
	configBandwidth = 32e6
)

// followConfig keeps the configuration current until ctx ends, whatever happens to the rest of the view: a daemon whose
// configuration gets old reads it itself, the leader first.
func (f *Follower) followConfig(ctx context.Context) {
	retry := configCheckInterval
	for ctx.Err() == nil {
		began := f.deps.Now()
		age := began.Sub(f.views.Get().ConfigAsOf)
		switch left := f.maxConfigAge() - age; {
		case left > 0:
			fulmarclock.Sleep(ctx, min(left, configCheckInterval))
		case f.readConfig(ctx, age):
			retry = configCheckInterval
		default:
			// The time that the read has waited for an answer counts: a store that was silent may have come back meanwhile.
			fulmarclock.Sleep(ctx, retry*7/8+rand.N(retry/4)-f.deps.Now().Sub(began))
			retry = min(2*retry, storeRetryInterval)
		}
	}
}

// maxConfigAge returns the age of the configuration at which this daemon reads it.
func (f *Follower) maxConfigAge() time.Duration {
	if f.leads() {
		return leaderConfigAge
	}
	total := float64(f.views.Get().Daemons * f.config.Size())
	return max(maxConfigAge, time.Duration(total/configBandwidth*float64(time.Second)))
}

// readConfig reads the configuration from the store and reports whether the store answered.
func (f *Follower) readConfig(ctx context.Context, age time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.deps.Metrics.Count("control.config_read")
	began := f.deps.Now()
	routes, err := f.config.Read(ctx)
	if err != nil {
		f.deps.Metrics.Count("control.config_read_failed")
		f.log.Info("configuration not read", "took", f.deps.Now().Sub(began), "age", age, "error", err)
		return false
	}
	f.setConfig(routes, began)
	return true
}

// setConfig makes a configuration known that contains all changes up to asOf. routes is nil if there was none.
func (f *Follower) setConfig(routes *fulmarroute.Table, asOf time.Time) {
	f.views.Update(func(v *fulmarview.View) { v.Routes, v.ConfigAsOf = routes, asOf })
	f.publisher.Publish()
}

// recordConfig takes over the configuration in an update whose times refer to computedAt and whose state contains all changes up
// to asOf. It returns up to which time the configuration does. A damaged message must not make that later than computedAt.
func (f *Follower) recordConfig(s *leaderState, u *fulmarleaderrpc.Update, computedAt, asOf time.Time) (configAsOf time.Time, err error) {
	if configAsOf = asOf.Add(max(u.ConfigLead, 0)); configAsOf.After(computedAt) {
		configAsOf = computedAt
	}
	if u.Config == nil {
		return configAsOf, nil
	}
	config, err := u.Config.Unpack()
	if err != nil {
		return configAsOf, err
	}
	if s.routes, err = fulmarroute.New(config); err != nil {
		return configAsOf, err
	}
	if v := f.views.Get(); v.Routes == nil || v.Routes.Version() < s.routes.Version() {
		f.log.Info("configuration in force", "version", s.routes.Version(), "source", "leader", "age", f.deps.Now().Sub(configAsOf))
	}
	return configAsOf, nil
}
