package fulmarleader

import (
	"context"
	"maps"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
)

// relayInterval is the least time between two choices of the relays.
const relayInterval = 500 * time.Millisecond

const (
	// Every published change wakes all daemons, so the delay between two publications grows with the number of
	// daemons, within the given bounds.
	publishDelayPerDaemon = 300 * time.Microsecond
	minPublishDelay       = 5 * time.Millisecond
	maxPublishDelay       = 250 * time.Millisecond
)

// requestPublish makes publishLoop publish the current state.
func (t *Term) requestPublish() {
	select {
	case t.publishRequested <- struct{}{}:
	default:
	}
}

// publishLoop publishes changes and combines those that follow each other closely.
func (t *Term) publishLoop(ctx context.Context) {
	for {
		select {
		case <-t.publishRequested:
		case <-ctx.Done():
			return
		}
		t.mu.Lock()
		t.publish()
		daemons, _ := t.countDaemons(t.deps.Now())
		t.mu.Unlock()
		if !fulmarclock.Sleep(ctx, min(max(time.Duration(daemons)*publishDelayPerDaemon, minPublishDelay), maxPublishDelay)) {
			return
		}
	}
}

// publish updates the leader's own view and passes it on to the daemons that wait for a change. The caller holds mu.
func (t *Term) publish() {
	now := t.deps.Now()
	owners := t.routingSpans(now)
	daemons, maxCPUShare := t.countDaemons(now)
	t.updateRelays(now)
	t.deps.Views.Update(func(v *fulmarview.View) {
		if t.snapshot.Routes != nil {
			v.Routes = t.snapshot.Routes
		}
		if v.Catalog == nil || !v.Catalog.Equivalent(t.snapshot.Catalog) {
			v.Catalog = t.snapshot.Catalog
		}
		if !t.keepsOwners(now, v) {
			v.Owners = owners
		}
		v.AsOf = t.snapshot.ReadAt
		v.Daemons, v.MaxCPUShare, v.Contacts, v.Relays = daemons, maxCPUShare, t.fleet.contacts(now), t.relays
		v.Term, v.Leader, v.Hops = t.lease.revision, t.deps.Address, 0
	})
	t.isPublished = true
	t.deps.Publisher.Publish()
}

// keepRelays takes over the relays of the former term, if it had any, until the daemons have reported. The caller holds mu, or has
// not started the term.
func (t *Term) keepRelays(former fulmarrelay.Set) {
	if t.relays = former.Without(t.deps.Address); len(t.relays) > 0 {
		t.nextRelayChoice = t.beganAt.Add(memberTimeout)
	}
}

// updateRelays chooses the relays anew, at most every relayInterval. Without relays of a former term, the first choice has few
// daemons to choose from, and changes as more report. The caller holds mu.
func (t *Term) updateRelays(now time.Time) {
	if now.Before(t.nextRelayChoice) {
		return
	}
	t.nextRelayChoice = now.Add(relayInterval)
	relays := t.relays.With(t.fleet.candidates(now))
	if !relays.Equal(t.relays) {
		t.deps.Log.Info("relays chosen", "term", t.lease.revision, "relays", len(relays), "before", len(t.relays))
		t.relays = relays
	}
}

// routingSpans returns the routing of keys to targets by service. The caller holds mu.
func (t *Term) routingSpans(now time.Time) map[string]fulmarview.Spans {
	out := make(map[string]fulmarview.Spans, len(t.services))
	for name, s := range t.services {
		var spans fulmarview.Spans
		for _, segment := range s.orders.Table().Segments() {
			_, bounded := s.hotKeyRates[segment.Owner.Incarnation]
			spans = spans.Append(fulmarview.Span{
				From: segment.From, To: segment.To, Target: segment.Owner.Incarnation.ID, Ready: s.orders.OwnerHolds(now, segment),
				Bounded: bounded && segment.From == segment.To,
			})
		}
		out[name] = spans
	}
	return out
}

// countDaemons returns the number of daemons, including this one, and the largest CPU share among the others. At the begin
// of the term it is at least the number that was known before: bounds of the fleet are divided by it, and daemons that have
// yet to report still exist. The caller holds mu.
func (t *Term) countDaemons(now time.Time) (count int, maxCPUShare float64) {
	count, maxCPUShare = t.fleet.countMembers(now)
	count++
	if now.Sub(t.beganAt) < memberTimeout {
		count = max(count, t.formerDaemons, t.snapshot.Fleet.Daemons)
	}
	return count, maxCPUShare
}

// RecordReport records the load in a report of another daemon or of the leader itself.
func (t *Term) RecordReport(r *fulmarleaderrpc.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	isNew := r.ID != t.deps.ID && t.fleet.recordReport(now, fulmarleaderrpc.MemberReport{ID: r.ID, Address: r.Address, DC: r.DC, CPUShare: r.CPUShare})
	for _, m := range r.Members {
		isNew = m.ID != t.deps.ID && t.fleet.recordReport(now, m) || isNew
	}
	if isNew {
		t.requestPublish()
	}
	t.deps.RecordLimits(r.Limits, "daemon")
	t.recordLeaving(r.Leaving)
	t.deps.RecordCrashes(r.Crashes, "daemon")
	for service, counts := range r.Keys {
		s := t.services[service]
		if s == nil {
			continue
		}
		s.rates.Advance(now)
		for _, k := range counts {
			s.rates.Add(k.Key, float64(k.Count))
		}
	}
	for _, l := range r.Targets {
		target, ok := t.snapshot.Catalog.Target(l.Target)
		if s := t.services[target.Service]; ok && s != nil {
			s.responseTimes.AddCompleted(now, l.Target, l.ResponseTime, l.Answered)
			s.responseTimes.AddAbandoned(now, l.Target, l.AbandonedTime, l.Abandoned)
		}
	}
}

// loadLogInterval is the time between two lines in the log about the answers to reports.
const loadLogInterval = time.Second

// answerCounts counts answers to reports.
type answerCounts struct{ updates, complete, configs, referrals int }

// dutyCounts counts what the leader did besides answering reports.
type dutyCounts struct {
	reads, failedReads, plans, orders int
	slowestRead, slowestPlan          time.Duration
}

// countRead counts a read of the store that began at the given time.
func (t *Term) countRead(began time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.duties.reads++
	if !ok {
		t.duties.failedReads++
	}
	t.duties.slowestRead = max(t.duties.slowestRead, t.deps.Now().Sub(began))
}

// countPlan counts a plan that began at the given time. The caller holds mu.
func (t *Term) countPlan(began time.Time) {
	t.duties.plans++
	t.duties.slowestPlan = max(t.duties.slowestPlan, t.deps.Now().Sub(began))
}

// logLoad logs the load of the leader by reports and by its other duties regularly until ctx ends.
func (t *Term) logLoad(ctx context.Context) {
	for fulmarclock.Sleep(ctx, loadLogInterval) {
		t.mu.Lock()
		load, duties := t.load, t.duties
		t.load, t.duties = answerCounts{}, dutyCounts{}
		now := t.deps.Now()
		daemons, _ := t.countDaemons(now)
		share, age := t.fleet.reportingShare(now), now.Sub(t.snapshot.ReadAt)
		t.mu.Unlock()
		t.deps.Log.Info("reports answered", "daemons", daemons, "reporting", share, "updates", load.updates,
			"complete", load.complete, "configs", load.configs, "referrals", load.referrals, "age", age,
			"reads", duties.reads, "failed", duties.failedReads, "read", duties.slowestRead, "plans", duties.plans, "plan", duties.slowestPlan, "orders", duties.orders)
	}
}

// count counts an answer to a report. The caller holds mu.
func (c *answerCounts) count(u *fulmarleaderrpc.Update) {
	c.updates++
	if u.Complete {
		c.complete++
	}
	if u.Config != nil {
		c.configs++
	}
}

// Sync answers a report with the changes since the versions in it, or refers the daemon to the relays; see
// fulmarpublisher.Publisher.Wait.
func (t *Term) Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	t.RecordReport(r)
	if !t.mayAnswer() {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	if relays, ok := t.referral(r); ok {
		return &fulmarleaderrpc.Update{Referral: true, Relays: relays}, nil
	}
	u, err := t.deps.Publisher.Wait(ctx, r)
	if err != nil {
		return nil, err
	}
	if !t.mayAnswer() {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.count(u)
	return u, nil
}

// mayAnswer reports whether the term holds its lease and its state is published.
func (t *Term) mayAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deps.Now().Before(t.validUntil) && t.isPublished
}

// referral returns the relays if the sender of a report is to follow one of them. There are none yet at the first start of a
// large fleet; daemons beyond those that the leader serves without relays come again then.
func (t *Term) referral(r *fulmarleaderrpc.Report) (fulmarrelay.Set, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.KnowsRelays || r.Direct || t.relays.Has(r.Address) || len(t.relays) == 0 && t.mayServe(t.deps.Now(), r.ID) {
		return nil, false
	}
	t.load.referrals++
	return t.relays, true
}

// mayServe reports whether a daemon is one of those that the leader serves without relays. The caller holds mu.
func (t *Term) mayServe(now time.Time, id string) bool {
	if _, served := t.served[id]; !served && len(t.served) >= fulmarrelay.MaxDirect {
		maps.DeleteFunc(t.served, func(_ string, at time.Time) bool { return now.Sub(at) > reportWindow })
		if len(t.served) >= fulmarrelay.MaxDirect {
			return false
		}
	}
	t.served[id] = now
	return true
}
