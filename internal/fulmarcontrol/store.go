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

	// callersOfStore is how many daemons watch the configuration, and how many
	// stand for election; the others learn from them.
	callersOfStore = 3
	// watchWait is short because a daemon that is no longer among the chosen
	// ones notices that only when its watch ends.
	watchWait    = 10 * time.Second
	storeBackoff = 2 * time.Second // longest random wait after a failed call
	loadInterval = time.Second
	// yieldTime is how long a daemon in a minority does not stand for election.
	yieldTime = 3 * time.Second
)

// noteStore records whether the key-value service answers.
func (c *Controller) noteStore(err error) {
	if errors.Is(err, fulmarstore.ErrNotFound) || errors.Is(err, fulmarstore.ErrConflict) ||
		errors.Is(err, context.Canceled) {
		err = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if (err == nil) != (c.storeErr == nil) {
		if err != nil {
			c.Log.Warn("key-value service does not answer", "error", err)
			c.Counter.Count("store_down")
		} else {
			c.Log.Info("key-value service answers again")
		}
	}
	c.storeErr = err
}

// chosen reports whether this daemon is one of the few that call the
// key-value service for the purpose. Without a table every daemon is.
func (c *Controller) chosen(purpose string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Epoch() == 0 || c.versioned.Version == 0 {
		return true
	}
	var members []fulmarrank.Member
	for _, p := range c.liveMembers(time.Now()) {
		members = append(members, fulmarrank.Member{ID: p.ID})
	}
	ranked := fulmarrank.New(members).Rank(nil, purpose, "")
	i := slices.Index(ranked, c.Self.ID)
	return i >= 0 && i < callersOfStore
}

// runConfigWatch keeps the configuration up to date from the key-value service.
func (c *Controller) runConfigWatch(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		if !c.chosen("watch") {
			index = 0
			if !fulmarclock.Sleep(ctx, loadInterval) {
				return
			}
			continue
		}
		value, err := c.Store.Watch(ctx, keyConfig, index, watchWait)
		if errors.Is(err, fulmarstore.ErrNotFound) {
			if !fulmarclock.Sleep(ctx, storeRetry) {
				return
			}
			continue
		}
		c.noteStore(err)
		if err != nil {
			if !fulmarclock.Sleep(ctx, storeRetry+rand.N(storeBackoff)) {
				return
			}
			continue
		}
		index = value.Index
		if err := c.adoptConfig(value.Data); err != nil {
			c.Log.Error("stored configuration is not valid", "error", err)
			c.Counter.Count("config_invalid")
		}
	}
}

// runElection stands for election as planner and renews the lease while elected.
func (c *Controller) runElection(ctx context.Context) {
	session := ""
	defer func() { c.resign(session) }()
	for ctx.Err() == nil {
		wait := c.Timing.PlannerLease / 3
		switch {
		case !c.eligible():
			c.resign(session)
			session = ""
			// The check costs nothing, and keys of a target that was lost with the planner wait for the election.
			wait = c.Timing.PlannerLease / 12
		case session == "":
			if session = c.stand(ctx); session == "" {
				// The former planner's lease ends at about the time at which its silence is noticed.
				wait = c.Timing.PlannerLease / 6
			}
		default:
			if !c.renewLease(ctx, session) {
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

// eligible reports whether this daemon may stand for election. A daemon that
// has no configuration can't plan, and a leaving one would hand over at once.
func (c *Controller) eligible() bool {
	c.mu.Lock()
	ok := c.versioned.Version > 0 && !c.leaving && !c.yields(time.Now())
	planning := time.Now().Before(c.plannerTo)
	other := c.otherPlanner()
	c.mu.Unlock()
	return ok && (planning || !other && c.chosen("planner"))
}

// yields reports whether this daemon leaves the election to others because it
// hears no majority of the roster. A planner that is cut off from its peers, but
// not from the key-value service, would otherwise keep the lease and get no
// acknowledgements. If nobody else is elected meanwhile, most of the roster is
// lost, and it stands again. mu must be held.
func (c *Controller) yields(now time.Time) bool {
	if len(c.table.Roster()) == 0 || c.hearsMajority(now) {
		c.minority = time.Time{}
		return false
	}
	if c.minority.IsZero() {
		c.minority = now
	}
	return now.Sub(c.minority) < yieldTime
}

// otherPlanner reports whether a live peer says that it is the planner; mu must be held.
func (c *Controller) otherPlanner() bool {
	now := time.Now()
	for _, p := range c.peers {
		if p.status.Planner && now.Sub(p.heard) < c.Timing.DownTimeout {
			return true
		}
	}
	return false
}

// stand tries to acquire the planner's key and returns the session if it did.
func (c *Controller) stand(ctx context.Context) string {
	session, err := c.Store.NewSession(ctx, c.Timing.PlannerLease)
	c.noteStore(err)
	if err != nil {
		return ""
	}
	sent := time.Now()
	acquired, err := c.Store.Acquire(ctx, keyPlanner, session, []byte(c.holderName()))
	c.noteStore(err)
	if err != nil || !acquired || !c.renewLease(ctx, session) {
		c.endSession(session)
		return ""
	}
	c.Log.Info("elected as planner", "after", time.Since(sent))
	c.Counter.Count("elected")
	return session
}

// renewLease renews the session. The lease counts from before the call was
// sent, so that this daemon never takes it for longer than the service does.
func (c *Controller) renewLease(ctx context.Context, session string) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.PlannerLease/2)
	defer cancel()
	sent := time.Now()
	err := c.Store.Renew(callCtx, session)
	if err == nil {
		c.noteStore(nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.plannerTo = sent.Add(c.Timing.PlannerLease)
		return true
	}
	if ctx.Err() == nil {
		c.noteStore(err)
	}
	if errors.Is(err, fulmarstore.ErrNotFound) {
		c.resign("")
		return false
	}
	// Without an answer the lease may still be in force: try again until it ends.
	return c.IsPlanner()
}

// resign ends the planner's lease.
func (c *Controller) resign(session string) {
	c.mu.Lock()
	c.plannerTo = time.Time{}
	c.mu.Unlock()
	if session != "" {
		c.endSession(session)
	}
}

func (c *Controller) endSession(session string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timing.PlannerLease/2)
	defer cancel()
	if err := c.Store.Destroy(ctx, session); err != nil {
		c.Log.Debug("session not destroyed, it will lapse", "error", err)
	}
}

// runStoreConfirm reads the table from the key-value service while peers do
// not confirm the quorum lease, for example because too few of them are left.
func (c *Controller) runStoreConfirm(ctx context.Context) {
	for fulmarclock.Sleep(ctx, c.Timing.LeaseWindow/4) {
		c.mu.Lock()
		now := time.Now()
		needed := c.table.Epoch() > 0 && c.rosterIncarnation(c.Self.ID) == c.Self.Incarnation &&
			c.lease.Expiry().Sub(now) < c.Timing.LeaseWindow/4
		behind := c.table.Epoch() == 0
		c.mu.Unlock()
		if !needed && !behind {
			continue
		}
		if !c.confirmFromStore(ctx) && !fulmarclock.Sleep(ctx, storeRetry+rand.N(storeRetry)) {
			return
		}
	}
}

func (c *Controller) confirmFromStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.Timing.LeaseWindow)
	defer cancel()
	sent := time.Now()
	value, err := c.Store.Get(callCtx, keyTable)
	if errors.Is(err, fulmarstore.ErrNotFound) {
		return false
	}
	c.noteStore(err)
	if err != nil {
		return false
	}
	if err := c.adoptTable(ctx, value.Data); err != nil {
		c.Log.Error("stored table is not valid", "error", err)
		return false
	}
	stored, err := epochOf(value.Data)
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
