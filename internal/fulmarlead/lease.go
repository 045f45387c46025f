package fulmarlead

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// resign ends the lease, so that another daemon can lead at once.
func (t *Term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := t.deps.Store.End(ctx, t.seat.lease); err != nil {
		t.deps.Log.Info("lease not given up", "error", err)
	}
}

// leads reports whether the lease surely holds.
func (t *Term) leads(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.valid)
}

// keepLoop extends the lease until it is lost. Calls that are not answered soon do not hold up the next ones.
func (t *Term) keepLoop(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(keepsOpen)
	defer func() { _ = calls.Wait() }() // the calls return no errors
	for next := time.Duration(0); fulmarclock.Sleep(ctx, next); next = keepEvery {
		if !t.leads(t.deps.Now()) {
			t.deps.Log.Warn("lease not extended in time", "term", t.seat.revision)
			return
		}
		t.bridge()
		calls.TryGo(func() error {
			t.keep(ctx)
			return nil
		})
	}
}

// fit reports whether the leader may extend its lease. One that calls the store through other daemons leads on only
// while it reads the store and hears most of the fleet; else it is cut off from more than the store.
func (t *Term) fit(now time.Time) bool {
	if !t.deps.StoreForwarded() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.snapshot.ReadAt) <= readLimit && t.fleet.heard(now) >= heardShare
}

// keep extends the lease once.
func (t *Term) keep(ctx context.Context) {
	began := t.deps.Now()
	if !t.fit(began) {
		t.deps.Log.Warn("lease not extended through other daemons", "term", t.seat.revision)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.deps.Store.Keep(ctx, t.seat.lease)
	if errors.Is(err, fulmarkv.ErrNoLease) {
		t.deps.Log.Warn("lease has ended", "term", t.seat.revision)
		t.lose()
		return
	}
	if err != nil {
		t.deps.Log.Debug("lease not extended by a call", "term", t.seat.revision, "error", err)
		return
	}
	t.extended(began)
}

// lose records that the lease has ended; calls that are still under way no longer extend it.
func (t *Term) lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end()
}

// end stops orders and extensions for good; mu is held.
func (t *Term) end() { t.valid, t.ended = time.Time{}, true }

// Past ends the term if its lease has run out, and tells when its grants have lapsed; ok is false if it still leads.
func (t *Term) EndIfExpired() (p fulmarsync.EndedTerm, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if now.Before(t.valid) {
		return p, false
	}
	t.end()
	p.Term = t.seat.revision
	for name := range t.snapshot.Tables {
		if t.shards[name] == nil { // a service that is not configured now, of which grants of earlier terms may last
			p.GrantsLapseIn = t.timing().MaxHoldTime()
		}
	}
	for _, s := range t.shards {
		// Calls that are under way end within grantTimeout.
		p.GrantsLapseIn = max(p.GrantsLapseIn, s.book.LatestExpiry(now.Add(grantTimeout)).Sub(now))
	}
	return p, true
}

// extended records that a call which began at the given time has extended the lease.
func (t *Term) extended(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || began.Before(t.kept) {
		return // a later call has told more
	}
	t.valid, t.kept = began.Add(LeaseDuration-leaseMargin), began
	if t.bridged {
		t.bridged = false
		t.deps.Log.Info("grants are no longer extended", "term", t.seat.revision)
		t.setHold(hold)
	}
}

// bridge extends all grants if no call has extended the lease for some time. It does not wait for a call to fail,
// as the grants must be sent before the lease ends.
func (t *Term) bridge() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bridged || t.deps.Now().Sub(t.kept) < bridgeAfter {
		return
	}
	t.bridged = true
	t.deps.Log.Warn("store does not answer, extending grants", "term", t.seat.revision)
	t.setHold(time.Duration(float64(t.deps.MaxGrantDuration) * bridgeShare))
}

// setHold changes the time of all grants; mu is held.
func (t *Term) setHold(d time.Duration) {
	now := t.deps.Now()
	for _, s := range t.shards {
		s.book.SetGrantTTL(now, d)
	}
	t.wake()
}
