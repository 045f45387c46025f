package fulmarleader

import (
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
)

// Permits dispenses permits for requests to targets with a limit, cold ones, and those of hot keys. A term gives none after its lease, so that no other
// leader dispenses permits at the same time.
func (t *Term) Permits(r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error) {
	now := t.deps.Now()
	if !now.Before(*t.permitsUntil.Load()) {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	t.deps.RecordLimits(r.Limits, "daemon")
	rates := fulmarrate.Least{t.deps.Limits, t.deps.Coldness, *t.hotKeyRates.Load()}
	out := &fulmarleaderrpc.PermitAnswer{Permits: make([]fulmarleaderrpc.Permit, 0, len(r.Permits))}
	for _, ask := range r.Permits {
		p, request := fulmarleaderrpc.Permit{Granted: true}, fulmarpermit.Request{Target: ask.Target, MaxWait: ask.MaxWait, Priority: ask.Priority}
		rate, bounded := rates.Rate(ask.Target)
		if ask.ColdRate > 0 && (!bounded || ask.ColdRate < rate) { // the daemon may have read of it later than the leader
			rate, bounded = ask.ColdRate, true
		}
		if bounded {
			p.Wait, p.Granted = t.permits.Take(now, rate, request)
		}
		out.Permits = append(out.Permits, p)
	}
	return out, nil
}

// updateHotKeyRates takes over which targets of single keys are asked for more than they can do, and reports whether others are
// than before. The caller holds mu.
func (t *Term) updateHotKeyRates(name string, s *keyedService, rates map[fulmarrange.Incarnation]float64) (changed bool) {
	for target, rate := range rates {
		if _, known := s.hotKeyRates[target]; !known {
			changed = true
			t.deps.Log.Info("requests for a hot key are bounded", "service", name, "target", target.ID, "rate", rate)
		}
	}
	for target := range s.hotKeyRates {
		if _, bounded := rates[target]; !bounded {
			changed = true
			t.deps.Log.Info("requests for a hot key are no longer bounded", "service", name, "target", target.ID)
		}
	}
	s.hotKeyRates = rates
	all := make(fulmarrate.Table)
	for _, s := range t.services {
		for target, rate := range s.hotKeyRates {
			all[target.ID] = rate
		}
	}
	t.hotKeyRates.Store(&all)
	return changed
}

// needMemory is the time after the latest statement of a target's limit in which the target gets no keys that others can
// have. A target whose load has become low may end its limit and state it again once the load is back. One that has lost
// all of its keys gets no requests, so that nobody would learn of the end of its limit.
const needMemory = 10 * time.Second

// needDelay is the time without a new limit of a service from which on the plan takes its limits into account, at the
// latest maxNeedDelay after a target has stated its own. The targets of a service may come to state limits one after
// another, and keys that leave the first ones would have to leave the next ones as well.
const (
	needDelay    = time.Second
	maxNeedDelay = 3 * time.Second
)

// newestLimit returns when the latest of the current limits of a service was first stated, zero if there is none.
func (t *Term) newestLimit(service string) (newest time.Time) {
	for _, target := range t.snapshot.Catalog.Service(service) {
		if s, ok := t.deps.Limits.Latest(target.ID); ok && s.Limited && s.LimitedSince.After(newest) {
			newest = s.LimitedSince
		}
	}
	return newest
}

// withLimit returns a target with the capacity that its limit leaves. newest is the result of newestLimit.
func (t *Term) withLimit(now, newest time.Time, target fulmarassign.Target) fulmarassign.Target {
	s, ok := t.deps.Limits.Latest(target.Incarnation.ID)
	switch {
	case !ok:
		return target
	case !s.Limited:
	case now.Sub(newest) < needDelay && now.Sub(s.LimitedSince) < maxNeedDelay:
		return target
	default:
		target = target.WithLimit(s.Rate)
	}
	target.InNeed = now.Sub(s.ReceivedAt) < needMemory
	return target
}
