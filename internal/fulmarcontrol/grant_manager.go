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
	// maxClockDrift bounds the relative difference between the rates of two clocks.
	maxClockDrift = 0.001
	// failuresUntilLost is the number of consecutive failed calls after which a target is lost.
	failuresUntilLost = 2
	// failedCallRetryDelay is the delay before a call to a target without a
	// dispatcher is repeated. A refused connection fails at once, and waiting for the
	// next tick would delay the detection of a loss.
	failedCallRetryDelay = 50 * time.Millisecond
	// rankSettleTime is how long another daemon must rank before this one until a
	// target is handed over to it.
	rankSettleTime = 5 * time.Second
	// handoverDrainTimeout is how long a handover waits for work in flight. Work that
	// takes longer continues at the target and is answered by the former dispatcher.
	// The grant is not renewed during a handover, and its expiry would abort that
	// work, so the sum with handoverTimeout is below the time from a renewal to the
	// expiry of a grant.
	handoverDrainTimeout = 150 * time.Millisecond
	handoverTimeout      = 250 * time.Millisecond
	transferTimeout      = 300 * time.Millisecond
	// maxTransferAttempts is how often deduplication records are offered, once for each
	// renewal. A target that has just joined gets its dispatcher within that time.
	maxTransferAttempts = 5
	// holderGracePeriod is how long a live holder may take to renew an expired grant
	// before another daemon takes the target over.
	holderGracePeriod = time.Second
)

// grantManager manages the grant of one target. It takes the target over when this
// daemon should dispatch it, renews the grant, and hands the target over when another
// daemon should.
type grantManager struct {
	c          *Controller
	id         string
	cancel     context.CancelFunc
	wakeSignal chan struct{}
	handovers  chan handoverOffer

	// The manager's goroutine writes the fields below with c.mu held.
	holdsTarget bool
	dispatcher  Dispatcher // nil unless holdsTarget
	targetLost  bool
	suspects    []uint64                 // fingerprints of work that may have caused the loss
	releases    []fulmarwire.SlotRelease // reports of released slots, for the planner

	// Only the manager's goroutine accesses the fields below.
	term               uint64
	stamp              time.Duration // latest stamp received from the target
	stampReceived      time.Time
	failedCalls        int
	stoppingSlots      map[int]<-chan struct{} // by slot: closed when its work in flight has ended
	transferAttempts   int                     // offers of the deduplication records of the slots that are being released
	transferredMoves   map[int]uint64          // by slot: epoch in which the forced move started for which its records were sent
	admittedSlots      []int
	handoverUnresolved bool      // the last handover failed, so that the target may have another holder
	outrankedSince     time.Time // since when another daemon ranks first, zero if none does
	holderExpiredSince time.Time // since when the grant of a live holder is expired, zero if it is not
}

// handoverOffer is an offer of a target by its dispatcher. result receives the reason
// of a refusal, or an empty string.
type handoverOffer struct {
	handover *fulmarwire.Handover
	result   chan string
}

// syncGrantManagers starts and stops grant managers so that each target in the table
// has one; mu must be held.
func (c *Controller) syncGrantManagers(ctx context.Context) {
	for _, t := range c.table.Targets() {
		if m, ok := c.grantManagers[t.ID]; ok {
			m.wake()
			continue
		}
		m := &grantManager{
			c: c, id: t.ID,
			wakeSignal: make(chan struct{}, 1), handovers: make(chan handoverOffer),
			stoppingSlots: make(map[int]<-chan struct{}), transferredMoves: make(map[int]uint64),
		}
		var managerCtx context.Context
		managerCtx, m.cancel = context.WithCancel(ctx)
		c.grantManagers[t.ID] = m
		c.grantExpiries[t.ID] = &grantExpiryLog{}
		c.loops.Go(func() { m.run(managerCtx) })
	}
	for id, m := range c.grantManagers {
		if _, ok := c.table.Target(id); !ok {
			m.cancel()
			delete(c.grantManagers, id)
			delete(c.grantExpiries, id)
			delete(c.holderHints, id)
		}
	}
}

// wake makes the manager take its next step at once.
func (m *grantManager) wake() {
	select {
	case m.wakeSignal <- struct{}{}:
	default:
	}
}

// run takes a step every RenewInterval and whenever the manager is woken, until ctx is
// done. It also answers offers of the target.
func (m *grantManager) run(ctx context.Context) {
	defer m.stepDown(fulmaroutcome.NotHolder)
	ticker := time.NewTicker(m.c.Timing.RenewInterval)
	defer ticker.Stop()
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-m.wakeSignal:
		case <-ticker.C:
		case o := <-m.handovers:
			o.result <- m.acceptHandover(ctx, o.handover)
		}
	}
}

// step renews the grant, hands the target over or takes it over, as needed.
func (m *grantManager) step(ctx context.Context) {
	m.c.mu.Lock()
	target, ok := m.c.table.Target(m.id)
	shouldDispatch := ok && m.shouldDispatch(target, time.Now())
	m.pruneReleases()
	m.c.mu.Unlock()
	switch {
	case !ok:
		return
	case !target.Fenced:
		m.stepUnfenced(ctx, target)
	case m.dispatcher != nil:
		m.renew(ctx, target)
		m.handOverIfOutranked(ctx, target)
	case shouldDispatch:
		m.acquire(ctx, target, nil)
	default:
		m.setLost(false, nil)
	}
}

// shouldDispatch reports whether this daemon should dispatch the target; mu must be held.
func (m *grantManager) shouldDispatch(t fulmarslot.Target, now time.Time) bool {
	if !t.Fenced {
		return t.Dispatcher == m.c.Self.ID
	}
	first, ok := m.c.preferredDispatcher(t, now)
	return ok && first == m.c.Self.ID
}

// preferredDispatcher returns the live daemon of the roster that ranks first for a
// target; mu must be held.
func (c *Controller) preferredDispatcher(t fulmarslot.Target, now time.Time) (string, bool) {
	return c.ranker(now).First(t.ID, t.DataCentre)
}

// ranker returns a ranker of the live daemons in the roster; mu must be held.
func (c *Controller) ranker(now time.Time) fulmarrank.Ranker {
	var members []fulmarrank.Member
	for _, p := range c.liveMembers(now) {
		if c.rosterIncarnation(p.ID) == p.Incarnation {
			members = append(members, fulmarrank.Member{ID: p.ID, DataCentre: p.DataCentre})
		}
	}
	return fulmarrank.New(members)
}

// holderName returns the name under which this daemon holds grants. It includes the
// incarnation, so that a restarted daemon is not mistaken for its previous incarnation.
func (c *Controller) holderName() string { return formatHolder(c.Self.ID, c.Self.Incarnation) }

// callTimeout returns the timeout of a call to a target, which is short enough for two
// failed calls within the TTL of a grant.
func (m *grantManager) callTimeout() time.Duration { return m.c.Timing.RenewInterval }

// HandleFencedOrder wakes the grant manager of a target that refused an order by its
// fence, so that a displaced dispatcher detects this before its next renewal.
func (c *Controller) HandleFencedOrder(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.grantManagers[target]; ok {
		m.wake()
	}
}
