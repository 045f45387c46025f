package fulmarfollower

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// outcome is how following a daemon ended.
type outcome int

const (
	ended    outcome = iota // it answered reports until it could not, or until its state was too old
	failed                  // it could not be reached, or answered no report with a state that can be used
	unready                 // it refused the first report, as it has no state
	silent                  // a report to it timed out
	referred                // it leads and has referred this daemon to relays
)

// follow exchanges reports with the leader, or with a relay, until it fails or its state is too old.
func (f *Follower) follow(ctx context.Context, address string, relay bool) outcome {
	source, err := f.dial(ctx, address)
	if err != nil {
		f.log.Info("connection to leader failed", "address", address, "relay", relay, "error", err)
		return failed
	}
	defer source.Close()
	defer func() {
		if ctx.Err() == nil { // a daemon that stops still needs permits for its last requests
			f.setLeaderAddress("")
		}
	}()
	if !relay {
		f.setLeaderAddress(address)
	}
	f.log.Info("following leader", "address", address, "relay", relay)
	received := &leaderState{}
	if routes := f.views.Get().Routes; routes != nil {
		// Configuration versions come from the store and are the same for all leaders, so a new leader need not send
		// the configuration again.
		received.routes, received.versions.Config = routes, routes.Version()
	}
	maxAge, result := maxLeaderAge, failed
	if relay {
		maxAge = maxRelayAge
	} else {
		refreshCtx, cancel := context.WithCancel(ctx)
		var refresh sync.WaitGroup
		refresh.Go(func() { f.keepViewFresh(refreshCtx) })
		defer func() { cancel(); refresh.Wait() }()
	}
	for ctx.Err() == nil {
		began := f.deps.Now()
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		u, err := source.Sync(callCtx, f.reportTo(received, relay))
		timedOut := callCtx.Err() != nil
		cancel()
		switch {
		case err != nil:
			f.deps.Metrics.Count("control.report_failed")
			f.log.Info("report to leader failed", "address", address, "relay", relay, "silent", timedOut, "first", received.catalog == nil, "error", err)
			switch {
			case timedOut:
				return silent
			case received.catalog == nil:
				return unready
			}
			return result
		case u.EndedTerm != nil:
			f.log.Info("leader has ended its term", "address", address, "silent", false)
			f.recordEndedTerm(*u.EndedTerm)
			return result
		case u.Referral:
			f.log.Info("referred to relays", "address", address, "relays", len(u.Relays))
			f.views.Update(func(v *fulmarview.View) { v.Relays = u.Relays })
			return referred
		}
		computedAt, asOf := timesOf(u, began, f.deps.Now())
		configAsOf, err := f.recordConfig(received, u, computedAt, asOf)
		if err != nil {
			f.log.Error("configuration from leader is invalid", "error", err)
			return result
		}
		// These have ages of their own, and count however old the rest is.
		f.deps.RecordLimits(u.Limits, "leader")
		f.deps.RecordCrashes(u.Crashes, "leader")
		if f.deps.Now().Sub(asOf) > maxAge {
			f.log.Warn("leader has not read the store recently", "address", address, "relay", relay, "age", u.Age)
			if relay {
				f.setConfig(received.routes, configAsOf)
				return result
			}
			// A leader that answers still holds its lease, so it is followed on; keepViewFresh reads the store meanwhile.
		}
		if u.Complete {
			f.deps.Metrics.Count("control.complete_state")
			f.log.Info("complete state received from leader", "address", address, "relay", relay, "took", f.deps.Now().Sub(began), "targets", len(u.Targets), "age", u.Age)
		}
		f.recordCPUShare(u.MaxCPUShare)
		received.apply(computedAt, u)
		received.crashes.note(f.deps.Now(), u.Crashes)
		if relay {
			f.setLeaderAddress(u.Leader)
		}
		if !asOf.Before(f.latestStoreRead()) {
			f.updateView(received, u, asOf, configAsOf)
			result = ended
		} else {
			f.setConfig(received.routes, configAsOf)
		}
		if relay && f.views.Get().Relays.Has(f.deps.Address) {
			return ended // this daemon has become a relay, which follows the leader itself
		}
	}
	return result
}

// timesOf returns when an update was computed, at the earliest, and up to which time it contains all changes. The call lasted
// from began to now. The update was computed after the call had waited, and the time on the way counts as age. A damaged message
// must not make the state younger than the call.
func timesOf(u *fulmarleaderrpc.Update, began, now time.Time) (computedAt, asOf time.Time) {
	computedAt = began.Add(min(max(u.Waited, 0), now.Sub(began)))
	return computedAt, computedAt.Add(-max(u.Age, 0))
}

// leaderState is the state received from one leader so far.
type leaderState struct {
	versions fulmarleaderrpc.Versions
	routes   *fulmarroute.Table
	catalog  *fulmarcatalog.Catalog
	owners   map[string]fulmarview.Spans
	// contacts are addresses of some other daemons.
	contacts []string
	relays   fulmarrelay.Set
	limits   map[string]fulmarleaderrpc.TargetLimit // by target, as the leader has sent them
	reported map[string]reportedLimit               // by target
	crashes  knownCrashes
}

// apply merges an update whose times refer to computedAt, but for its configuration; see Follower.recordConfig.
func (s *leaderState) apply(computedAt time.Time, u *fulmarleaderrpc.Update) {
	for i := range u.Targets {
		u.Targets[i].SeenAt = computedAt
	}
	if u.Complete || s.catalog == nil {
		s.catalog, s.owners = fulmarcatalog.New(u.Targets), u.Owners
	} else {
		if len(u.Targets) > 0 || len(u.RemovedTargets) > 0 {
			s.catalog = s.catalog.With(u.Targets, u.RemovedTargets)
		}
		if len(u.Owners) > 0 {
			owners := make(map[string]fulmarview.Spans, len(s.owners)+len(u.Owners)) // a state without owners comes without a map
			maps.Copy(owners, s.owners)
			for name, changes := range u.Owners {
				owners[name] = owners[name].Apply(changes)
			}
			s.owners = owners
		}
	}
	if len(u.Contacts) > 0 {
		s.contacts = u.Contacts
	}
	if u.Versions.Relays != s.versions.Relays || u.Versions.Source != s.versions.Source {
		s.relays = u.Relays
	}
	if u.Versions.Source != s.versions.Source || u.Versions.Term != s.versions.Term || s.limits == nil {
		s.limits = make(map[string]fulmarleaderrpc.TargetLimit, len(u.Limits))
	}
	for _, l := range u.Limits {
		s.limits[l.Target] = l
	}
	s.versions = u.Versions
}

// updateView replaces the view by the state received from the leader.
func (f *Follower) updateView(s *leaderState, u *fulmarleaderrpc.Update, asOf, configAsOf time.Time) {
	f.noteTerm(u.Versions.Term)
	f.mu.Lock()
	leaderAddress := f.leaderAddress
	f.mu.Unlock()
	f.views.Update(func(v *fulmarview.View) {
		v.Routes, v.ConfigAsOf = s.routes, configAsOf
		if s.catalog != nil {
			v.Catalog = s.catalog
		}
		if s.owners != nil {
			v.Owners = s.owners
		}
		if len(s.contacts) > 0 {
			v.Contacts = s.contacts
		}
		v.Daemons, v.MaxCPUShare, v.Relays, v.AsOf = u.Daemons, u.MaxCPUShare, s.relays, asOf
		v.Leader, v.Term, v.Hops = leaderAddress, u.Versions.Term, u.Hops+1
	})
	f.publisher.Publish()
}
