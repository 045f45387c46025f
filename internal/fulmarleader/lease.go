package fulmarleader

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// resign ends the lease, so that another daemon can be elected at once.
func (t *Term) resign() { t.deps.revokeLease(t.lease.era, t.lease.id) }

// holdsLease reports whether the lease is certain to be valid at now.
func (t *Term) holdsLease(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.validUntil)
}

// renewLoop renews the lease until it is lost. A slow call does not delay the next ones.
func (t *Term) renewLoop(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentRenewals)
	defer func() { _ = calls.Wait() }() // the calls return no errors
	for next := time.Duration(0); fulmarclock.Sleep(ctx, next); next = leaseRenewInterval {
		if !t.holdsLease(t.deps.Now()) {
			t.deps.Log.Warn("leader lease expired without renewal", "term", t.lease.revision)
			return
		}
		t.extendGrants()
		calls.TryGo(func() error {
			t.renewLease(ctx)
			return nil
		})
	}
}

// mayRenew reports whether the leader may renew its lease. A leader that reaches the store through other daemons
// continues only while its reads succeed and most of the fleet reports to it; otherwise it is cut off from more than
// the store.
func (t *Term) mayRenew(now time.Time) bool {
	if !t.deps.StoreForwarded() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.snapshot.ReadAt) <= maxReadAge && t.fleet.reportingShare(now) >= minReportingShare
}

// renewLease renews the lease once.
func (t *Term) renewLease(ctx context.Context) {
	began := t.deps.Now()
	if !t.mayRenew(began) {
		t.deps.Log.Warn("leader lease not renewed through other daemons: store reads or daemon reports are missing", "term", t.lease.revision)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := t.deps.Store.RenewLease(ctx, t.lease.id)
	if errors.Is(err, fulmarkv.ErrNoLease) {
		t.deps.Log.Warn("leader lease no longer exists in the store", "term", t.lease.revision)
		t.endTerm()
		return
	}
	if err != nil {
		t.deps.Log.Debug("leader lease renewal failed", "term", t.lease.revision, "error", err)
		return
	}
	t.recordRenewal(began)
}

// endTerm marks the lease as ended. Renewal calls still in flight have no effect afterwards.
func (t *Term) endTerm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endTermLocked()
}

// endTermLocked permanently stops orders and lease renewals. The caller holds mu.
func (t *Term) endTermLocked() {
	t.noteRestore()
	t.validUntil, t.ended = time.Time{}, true
	t.permitsUntil.Store(&time.Time{})
}

// EndIfExpired ends the term if its lease has expired and returns when its grants lapse. ok is false if the term still
// holds its lease.
func (t *Term) EndIfExpired() (ended fulmarleaderrpc.EndedTerm, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if now.Before(t.validUntil) {
		return ended, false
	}
	t.endTermLocked()
	return fulmarleaderrpc.EndedTerm{Term: t.lease.revision, GrantsLapseIn: t.grantsLapseIn(now)}, true
}

// grantsLapseIn returns the time until all grants of this term and of those before it have lapsed. The caller holds mu.
func (t *Term) grantsLapseIn(now time.Time) (left time.Duration) {
	left = max(0, t.recovery.heldUntil.Sub(now))
	for name := range t.snapshot.Tables {
		if t.services[name] == nil { // no longer configured, but grants of earlier terms may still be valid
			left = t.timing().MaxHoldTime()
		}
	}
	for _, s := range t.services {
		// Calls in flight end within grantTimeout.
		left = max(left, s.orders.LatestExpiry(now.Add(grantTimeout)).Sub(now))
	}
	return left
}

// recordRenewal records a successful renewal call that began at the given time.
func (t *Term) recordRenewal(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || began.Before(t.lastRenewal) || t.lease.era.HasEnded() {
		return // a call that began later has already renewed the lease, or the store that has renewed it is another state
	}
	t.validUntil, t.lastRenewal = began.Add(t.deps.LeaseTTL()-leaseMargin), began
	validUntil := t.validUntil
	t.permitsUntil.Store(&validUntil)
	if t.grantsExtended {
		t.grantsExtended = false
		t.deps.Log.Info("store answers again, grants return to their normal duration", "term", t.lease.revision)
		_, ttl := t.deps.grantPace(t.countRanges())
		t.setGrantDuration(ttl)
	}
}

// extendGrants sends grants of a longer duration if the lease was not renewed for extendGrantsAfter. It does not wait
// for a call to fail, as the grants must be sent before the lease expires.
func (t *Term) extendGrants() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grantsExtended || t.deps.Now().Sub(t.lastRenewal) < extendGrantsAfter {
		return
	}
	t.grantsExtended = true
	t.deps.Log.Warn("store does not answer, extending all grants", "term", t.lease.revision)
	t.setGrantDuration(time.Duration(float64(t.deps.MaxGrantDuration) * extendedGrantShare))
}

// setGrantDuration changes the duration of all grants. The caller holds mu.
func (t *Term) setGrantDuration(d time.Duration) {
	now := t.deps.Now()
	for _, s := range t.services {
		s.orders.SetGrantTTL(now, d)
	}
	t.wakeWorkers()
}
