package fulmarcontrol

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrank"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	// clockDrift is the bound on the difference between the rates of two clocks.
	clockDrift = 0.001
	// failuresLost is the number of failed calls in a row after which a target is lost.
	failuresLost = 2
	// secondLook is the wait after the first failed call to a target without a
	// dispatcher. A refused call fails at once, and the next tick would be late.
	secondLook = 50 * time.Millisecond
	// rankSettle is how long another daemon must rank better before a target is handed over to it.
	rankSettle = 5 * time.Second
	// handoverDrain is how long a handover waits for work in flight; longer
	// work goes on at the target and is answered by the former dispatcher. With
	// handoverTimeout it stays within what a grant lasts after a renewal, since
	// the grant is not renewed meanwhile and its lapse would abort that work.
	handoverDrain   = 150 * time.Millisecond
	handoverTimeout = 250 * time.Millisecond
	transferTimeout = 300 * time.Millisecond
	// maxTransfers is how often request memory is offered, once for each
	// renewal: a target that has just joined gets its dispatcher within that time.
	maxTransfers = 5
	// holderPatience is how long a lapsed grant of a live holder is left to it.
	holderPatience = time.Second
)

// keeper holds the grant of one target while this daemon is its dispatcher,
// and takes it over when this daemon should become that.
type keeper struct {
	c      *Controller
	id     string
	cancel context.CancelFunc
	kick   chan struct{}
	offers chan offer

	// The fields below are written by the keeper's goroutine with c.mu held.
	holding    bool
	dispatcher Dispatcher // nil unless holding
	lost       bool
	suspects   []uint64
	releases   []fulmarwire.Release

	// The fields below belong to the keeper's goroutine.
	term        uint64
	stamp       time.Duration
	stampAt     time.Time
	failures    int
	stopping    map[int]<-chan struct{}
	transfers   int            // offers of the memory of slots that were stopped last
	transferred map[int]uint64 // by slot: the start of the forced move for which its memory was sent
	admitted    []int
	contested   bool // a handover failed with open outcome
	betterSince time.Time
	lapsedSince time.Time
}

type offer struct {
	handover *fulmarwire.Handover
	result   chan string
}

// syncKeepers starts and ends keepers so that each target of the table has one; mu must be held.
func (c *Controller) syncKeepers(ctx context.Context) {
	for _, t := range c.table.Targets() {
		if k, ok := c.keepers[t.ID]; ok {
			k.wake()
			continue
		}
		k := &keeper{
			c: c, id: t.ID,
			kick: make(chan struct{}, 1), offers: make(chan offer),
			stopping: make(map[int]<-chan struct{}), transferred: make(map[int]uint64),
		}
		var keeperCtx context.Context
		keeperCtx, k.cancel = context.WithCancel(ctx)
		c.keepers[t.ID] = k
		c.lapses[t.ID] = &lapseLog{}
		c.group.Go(func() { k.run(keeperCtx) })
	}
	for id, k := range c.keepers {
		if _, ok := c.table.Target(id); !ok {
			k.cancel()
			delete(c.keepers, id)
			delete(c.lapses, id)
			delete(c.learned, id)
		}
	}
}

func (k *keeper) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

func (k *keeper) run(ctx context.Context) {
	defer k.stepDown(fulmaroutcome.NotHolder)
	ticker := time.NewTicker(k.c.Timing.RenewInterval)
	defer ticker.Stop()
	for {
		k.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.kick:
		case <-ticker.C:
		case o := <-k.offers:
			o.result <- k.takeOffer(ctx, o.handover)
		}
	}
}

func (k *keeper) step(ctx context.Context) {
	k.c.mu.Lock()
	target, ok := k.c.table.Target(k.id)
	wanted := ok && k.wanted(target, time.Now())
	k.pruneReleases()
	k.c.mu.Unlock()
	switch {
	case !ok:
		return
	case !target.Fenced:
		k.stepUnfenced(ctx, target)
	case k.dispatcher != nil:
		k.renew(ctx, target)
		k.considerHandover(ctx, target)
	case wanted:
		k.acquire(ctx, target, nil)
	default:
		k.setLost(false, nil)
	}
}

// wanted reports whether this daemon should dispatch the target; mu must be held.
func (k *keeper) wanted(t fulmarslot.Target, now time.Time) bool {
	if !t.Fenced {
		return t.Dispatcher == k.c.Self.ID
	}
	first, ok := k.c.firstFor(t, now)
	return ok && first == k.c.Self.ID
}

// firstFor returns the live daemon of the roster that ranks first for a target; mu must be held.
func (c *Controller) firstFor(t fulmarslot.Target, now time.Time) (string, bool) {
	return c.ranker(now).First(t.ID, t.DataCentre)
}

func (c *Controller) ranker(now time.Time) fulmarrank.Ranker {
	var members []fulmarrank.Member
	for _, p := range c.liveMembers(now) {
		if c.rosterIncarnation(p.ID) == p.Incarnation {
			members = append(members, fulmarrank.Member{ID: p.ID, DataCentre: p.DataCentre})
		}
	}
	return fulmarrank.New(members)
}

// holderName is the name under which this daemon holds grants. It has the
// incarnation, so that a restarted daemon is not taken for its former self.
func (c *Controller) holderName() string { return holderName(c.Self.ID, c.Self.Incarnation) }

// callTimeout bounds a call to a target so that two failures fit into the life of a grant.
func (k *keeper) callTimeout() time.Duration { return k.c.Timing.RenewInterval }

// Fenced wakes the keeper of a target that refused an order by its fence, so
// that a dispatcher that was displaced learns of it before the next renewal.
func (c *Controller) HandleFencedOrder(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k, ok := c.keepers[target]; ok {
		k.wake()
	}
}
