package fulmarfollower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
)

const (
	// maxHopsToPassOn is the number of hops of a view up to which a daemon passes it on. Ages add up over hops, and
	// daemons that follow each other must not take their views for news.
	maxHopsToPassOn = 1
	// maxRelayAttempts is the number of relays that are tried in a row before the daemon turns to the leader.
	maxRelayAttempts = 3
	// relayBackoff is the time for which a relay that has failed is not tried again.
	relayBackoff = 5 * time.Second
	// unreadyBackoff is the same for a relay that has no state yet. After a restart of all daemons, the relays have one within
	// a second.
	unreadyBackoff = 200 * time.Millisecond
	// storeReadSpacing is the mean time between two reads of the whole store by the daemons of a large fleet that have
	// neither a relay nor a leader: 150 reads a second are 57 MB at 900 targets, half of the store's link.
	storeReadSpacing = time.Second / 150
	// firstReadDelay is the time after its start in which a daemon does not read the whole store if the store has no record
	// of the fleet. At the first start of a fleet, which may be large, a leader is elected within that time.
	firstReadDelay = time.Second
)

// relay passes the view of this daemon on to another one, whose report it adds to its own.
func (f *Follower) relay(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	if v := f.views.Get(); !v.Ready() || v.Hops > maxHopsToPassOn {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	f.children.Add(f.deps.Now(), r)
	f.deps.RecordLimits(r.Limits, "daemon")
	f.deps.RecordLeaving(r.Leaving)
	f.deps.RecordCrashes(r.Crashes, "daemon")
	return f.publisher.Wait(ctx, r)
}

// followRelays follows one relay after another, until maxRelayAttempts of them in a row have failed or this daemon is a relay
// itself.
func (f *Follower) followRelays(ctx context.Context) {
	for failures := 0; failures < maxRelayAttempts && ctx.Err() == nil; failures++ {
		address, ok := f.nextRelay()
		if !ok {
			return
		}
		backoff := relayBackoff
		switch f.follow(ctx, address, true) {
		case ended:
			failures = 0
			f.electionAt = time.Time{}
		case unready:
			backoff = unreadyBackoff
		}
		f.relayRetryAt[address] = f.deps.Now().Add(backoff)
	}
}

// nextRelay returns the address of the relay to follow next; ok is false if there is none, or if this daemon is a relay.
func (f *Follower) nextRelay() (address string, ok bool) {
	relays, now := f.views.Get().Relays, f.deps.Now()
	if relays.Has(f.deps.Address) {
		return "", false
	}
	for _, address := range relays.Order(f.deps.ID, f.deps.DC) {
		if !now.Before(f.relayRetryAt[address]) {
			return address, true
		}
	}
	return "", false
}

// needsLeader reports whether the daemon has to follow the leader itself.
func (f *Follower) needsLeader() bool {
	_, ok := f.nextRelay()
	return !ok
}

// mayReadStore reports whether this daemon may read the whole store now. The daemons of a large fleet other than the relays
// read it at random times, as many of them lose their relays or the leader together.
func (f *Follower) mayReadStore(ctx context.Context) bool {
	daemons, now := f.views.Get().Daemons, f.deps.Now()
	if daemons == 1 {
		daemons = f.storedDaemons(ctx)
	}
	if daemons == 0 {
		return now.Sub(f.startedAt) >= firstReadDelay
	}
	if daemons <= fulmarrelay.MaxDirect || f.views.Get().Relays.Has(f.deps.Address) {
		return true
	}
	if f.nextStoreRead.IsZero() {
		f.nextStoreRead = now.Add(rand.N(time.Duration(daemons) * storeReadSpacing))
	}
	if now.Before(f.nextStoreRead) {
		return false
	}
	f.nextStoreRead = time.Time{}
	return true
}

// storedDaemons returns the number of daemons in the store's record of the fleet, and makes the record known. It is 0 if the
// store has none, and 1 if it does not answer.
func (f *Follower) storedDaemons(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fleet, err := f.reader.Fleet(ctx)
	if err != nil {
		f.log.Info("number of daemons not read", "error", err)
		return 1
	}
	f.views.Update(func(v *fulmarview.View) {
		v.Daemons = max(v.Daemons, fleet.Daemons)
		if len(v.Relays) == 0 {
			v.Relays = fleet.Relays
		}
	})
	f.recordCPUShare(fleet.MaxCPUShare)
	return fleet.Daemons
}
