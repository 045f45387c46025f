package fulmarcontrol

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrank"
)

const (
	keyConfig  = "fulmarbend/config"
	keyTable   = "fulmarbend/table"
	keyPlanner = "fulmarbend/planner"

	catalogInstances = "fulmarbend-instance"
	catalogTargets   = "fulmarbend-target"

	// storeCallers is how many daemons watch the configuration, and how many stand for
	// election. The others receive the results from them.
	storeCallers = 3
	// watchTimeout is short because a daemon checks only between watches whether it is
	// still one of the storeCallers.
	watchTimeout    = 10 * time.Second
	maxStoreBackoff = 2 * time.Second // upper bound of the random delay after a failed call
	loadInterval    = time.Second
	// electionYieldTime is how long a daemon in a minority doesn't stand for election.
	electionYieldTime = 3 * time.Second
)

// recordStoreResult records whether the key-value service is available by the error of a
// call. ErrNotFound, ErrConflict and the cancellation of a call don't count as failures.
func (c *Controller) recordStoreResult(err error) {
	if errors.Is(err, fulmarstore.ErrNotFound) || errors.Is(err, fulmarstore.ErrConflict) ||
		errors.Is(err, context.Canceled) {
		err = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if (err == nil) != (c.storeErr == nil) {
		if err != nil {
			c.Log.Warn("key-value service not available", "error", err)
			c.Counter.Count("store_down")
		} else {
			c.Log.Info("key-value service available again")
		}
	}
	c.storeErr = err
}

// isStoreCaller reports whether this daemon is one of the storeCallers daemons that call
// the key-value service for a purpose. A daemon without a table or a configuration
// always is.
func (c *Controller) isStoreCaller(purpose string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Epoch() == 0 || c.versionedConfig.Version == 0 {
		return true
	}
	var members []fulmarrank.Member
	for _, p := range c.liveMembers(time.Now()) {
		members = append(members, fulmarrank.Member{ID: p.ID})
	}
	ranked := fulmarrank.New(members).Rank(nil, purpose, "")
	i := slices.Index(ranked, c.Self.ID)
	return i >= 0 && i < storeCallers
}

// runConfigWatch watches the stored configuration and applies newer versions.
func (c *Controller) runConfigWatch(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		if !c.isStoreCaller("watch") {
			index = 0
			if !fulmarclock.Sleep(ctx, loadInterval) {
				return
			}
			continue
		}
		value, err := c.Store.Watch(ctx, keyConfig, index, watchTimeout)
		if errors.Is(err, fulmarstore.ErrNotFound) {
			if !fulmarclock.Sleep(ctx, storeRetryDelay) {
				return
			}
			continue
		}
		c.recordStoreResult(err)
		if err != nil {
			if !fulmarclock.Sleep(ctx, storeRetryDelay+rand.N(maxStoreBackoff)) {
				return
			}
			continue
		}
		index = value.Index
		if err := c.applyConfig(value.Data); err != nil {
			c.Log.Error("stored configuration is not valid", "error", err)
			c.Counter.Count("config_invalid")
		}
	}
}

// runElection stands for election as planner, and renews the planner lease while elected.
func (c *Controller) runElection(ctx context.Context) {
	session := ""
	defer func() { c.resign(session) }()
	for ctx.Err() == nil {
		wait := c.Timing.PlannerLease / 3
		switch {
		case !c.canStandForElection():
			c.resign(session)
			session = ""
			// The check is cheap, and the keys of a target that was lost together with the
			// planner are not served until the next election.
			wait = c.Timing.PlannerLease / 12
		case session == "":
			if session = c.standForElection(ctx); session == "" {
				// The lease of the former planner ends at about the time at which the planner
				// is detected as down.
				wait = c.Timing.PlannerLease / 6
			}
		default:
			if !c.renewPlannerLease(ctx, session) {
				session = ""
			}
		}
		if session == "" {
			wait += rand.N(wait)
		}
		if !fulmarclock.Sleep(ctx, wait) {
			return
		}
	}
}

// canStandForElection reports whether this daemon may stand for election or remain the
// planner. A daemon without a configuration can't plan, and a leaving one would have to
// resign at once.
func (c *Controller) canStandForElection() bool {
	c.mu.Lock()
	ok := c.versionedConfig.Version > 0 && !c.leaving && !c.yieldsElection(time.Now())
	isPlanner := time.Now().Before(c.plannerLeaseExpiry)
	peerElected := c.peerIsPlanner()
	c.mu.Unlock()
	return ok && (isPlanner || !peerElected && c.isStoreCaller("planner"))
}

// yieldsElection reports whether this daemon leaves the election to others because it
// doesn't reach a majority of the roster. Otherwise a planner that is partitioned
// from its peers, but not from the key-value service, would keep the planner lease
// without receiving acknowledgements. If no other daemon is elected within
// electionYieldTime, most of the roster is lost, and this daemon stands again. mu must be
// held.
func (c *Controller) yieldsElection(now time.Time) bool {
	if len(c.table.Roster()) == 0 || c.reachesMajority(now) {
		c.minoritySince = time.Time{}
		return false
	}
	if c.minoritySince.IsZero() {
		c.minoritySince = now
	}
	return now.Sub(c.minoritySince) < electionYieldTime
}

// peerIsPlanner reports whether a live peer is the planner by its last status; mu must be
// held.
func (c *Controller) peerIsPlanner() bool {
	now := time.Now()
	for _, p := range c.peers {
		if p.status.IsPlanner && now.Sub(p.statusReceived) < c.Timing.DownTimeout {
			return true
		}
	}
	return false
}

// standForElection tries to acquire the planner key. It returns the session, or an empty
// string if another daemon holds the key or a call failed.
func (c *Controller) standForElection(ctx context.Context) string {
	session, err := c.Store.NewSession(ctx, c.Timing.PlannerLease)
	c.recordStoreResult(err)
	if err != nil {
		return ""
	}
	sent := time.Now()
	acquired, err := c.Store.Acquire(ctx, keyPlanner, session, []byte(c.holderName()))
	c.recordStoreResult(err)
	if err != nil || !acquired || !c.renewPlannerLease(ctx, session) {
		c.endSession(session)
		return ""
	}
	c.Log.Info("elected as planner", "after", time.Since(sent))
	c.Counter.Count("elected")
	return session
}

// renewPlannerLease renews the session and reports whether the planner lease is held.
// The lease is measured from before the call was sent, so that it expires here no later
// than at the service.
func (c *Controller) renewPlannerLease(ctx context.Context, session string) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.PlannerLease/2)
	defer cancel()
	sent := time.Now()
	err := c.Store.Renew(callCtx, session)
	if err == nil {
		c.recordStoreResult(nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.plannerLeaseExpiry = sent.Add(c.Timing.PlannerLease)
		return true
	}
	if ctx.Err() == nil {
		c.recordStoreResult(err)
	}
	if errors.Is(err, fulmarstore.ErrNotFound) {
		c.resign("")
		return false
	}
	// Without an answer the lease remains valid until it expires; the caller retries.
	return c.IsPlanner()
}

// resign ends the planner lease, and the session unless it is empty.
func (c *Controller) resign(session string) {
	c.mu.Lock()
	c.plannerLeaseExpiry = time.Time{}
	c.mu.Unlock()
	if session != "" {
		c.endSession(session)
	}
}

// endSession destroys a session, which releases the planner key.
func (c *Controller) endSession(session string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timing.PlannerLease/2)
	defer cancel()
	if err := c.Store.Destroy(ctx, session); err != nil {
		c.Log.Debug("session not destroyed, it will expire", "error", err)
	}
}

// runStoreConfirm confirms the quorum lease by reads of the stored table while peers
// don't confirm it, for example because too few of them are left. It also reads the
// table if this daemon has none.
func (c *Controller) runStoreConfirm(ctx context.Context) {
	for fulmarclock.Sleep(ctx, c.Timing.LeaseWindow/4) {
		c.mu.Lock()
		now := time.Now()
		needsConfirmation := c.table.Epoch() > 0 && c.rosterIncarnation(c.Self.ID) == c.Self.Incarnation &&
			c.lease.Expiry().Sub(now) < c.Timing.LeaseWindow/4
		needsTable := c.table.Epoch() == 0
		c.mu.Unlock()
		if !needsConfirmation && !needsTable {
			continue
		}
		if !c.confirmFromStore(ctx) && !fulmarclock.Sleep(ctx, storeRetryDelay+rand.N(storeRetryDelay)) {
			return
		}
	}
}

// confirmFromStore reads and applies the stored table, and confirms the quorum lease if
// its epoch is the one in force. It reports whether the table was read.
func (c *Controller) confirmFromStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.LeaseWindow)
	defer cancel()
	sent := time.Now()
	value, err := c.Store.Get(callCtx, keyTable)
	if errors.Is(err, fulmarstore.ErrNotFound) {
		return false
	}
	c.recordStoreResult(err)
	if err != nil {
		return false
	}
	if err := c.applyTable(ctx, value.Data); err != nil {
		c.Log.Error("stored table is not valid", "error", err)
		return false
	}
	stored, err := decodeEpoch(value.Data)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored == c.table.Epoch() {
		c.lease.ConfirmStore(sent)
		c.Counter.Count("lease_from_store")
	}
	return true
}
