package fulmarcontrol

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
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
	// work goes on at the target and is answered by the former dispatcher.
	handoverDrain   = 300 * time.Millisecond
	handoverTimeout = time.Second
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
	ticker := time.NewTicker(k.c.Timing.Renew)
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
func (k *keeper) callTimeout() time.Duration { return k.c.Timing.Renew }

// grantNow decides on a grant under the lock: it needs the quorum lease, and
// its latest end is on record before it is sent.
func (k *keeper) grantNow(term uint64, stamp time.Duration, stampAt time.Time) (fulmargrant.Grant, []int, bool) {
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.held(now) {
		return fulmargrant.Grant{}, nil, false
	}
	owned := c.table.OwnedBy(nil, k.id)
	slots := slices.Clone(owned)
	for slot, idle := range k.stopping {
		select {
		case <-idle:
		default:
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	slots = slices.Compact(slots)
	c.lapses[k.id].record(now, slots, stampAt.Add(lifetime(c.Timing.TTL)))
	return fulmargrant.Grant{
		Holder: c.holderName(), Term: term, Epoch: c.table.Epoch(), Slots: slots, Stamp: stamp, TTL: c.Timing.TTL,
	}, owned, true
}

func lifetime(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*clockDrift)
}

// renew extends the grant and brings its slots up to date.
func (k *keeper) renew(ctx context.Context, t fulmarslot.Target) {
	k.stopMoving()
	if k.lost {
		k.transferLost(ctx, t)
		k.probeLost(ctx, t)
		return
	}
	if k.contested {
		k.reclaim(ctx, t)
		return
	}
	g, owned, ok := k.grantNow(k.term, k.stamp, k.stampAt)
	if !ok {
		k.c.Counter.Count("renewal_without_lease")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	running := k.dispatcher.Running()
	state, err := k.c.Targets.Grant(callCtx, t.Address, g)
	received := time.Now()
	var refused *fulmargrant.RefusedError
	switch {
	case errors.As(err, &refused):
		k.refused(state, refused, received)
	case err != nil && ctx.Err() == nil:
		k.failed(err)
	case err == nil:
		k.failures = 0
		k.fitSlots(state, running)
		k.stamp, k.stampAt = state.Stamp, received
		k.inForce(ctx, t, g, owned)
	}
}

// fitSlots leaves room at the target for work that a former dispatcher started
// there. running is the number of own orders when the target was asked.
func (k *keeper) fitSlots(state fulmargrant.State, running int) {
	foreign := max(state.Running-max(running, k.dispatcher.Running()), 0)
	k.dispatcher.SetSlots(max(state.Slots-foreign, 1))
}

// refused handles a target that does not accept the renewal: another daemon
// took over, or the target was restarted and has lost its clock and its grant.
func (k *keeper) refused(state fulmargrant.State, refused *fulmargrant.RefusedError, received time.Time) {
	if state.Term < k.term {
		k.c.Log.Warn("target restarted", "target", k.id)
		k.restarted()
		return
	}
	if state.Term > k.term || (state.Term == k.term && state.Holder != k.c.holderName()) {
		k.c.Log.Info("target taken over", "target", k.id, "term", state.Term, "holder", state.Holder)
		k.stepDown(fulmaroutcome.NotHolder)
		return
	}
	k.c.Counter.Count("grant_refused")
	k.c.Log.Warn("grant refused", "target", k.id, "reason", refused.Reason, "term", state.Term, "epoch", state.Epoch)
	// A refusal brings a newer stamp, with which the next renewal is accepted.
	k.stamp, k.stampAt = state.Stamp, received
}

// restarted ends the grant of a target that came back as a new process. Work
// that was in flight is suspect, as it is when a target is lost.
func (k *keeper) restarted() {
	k.c.Counter.Count("target_restarted")
	k.dispatcher.Suspend()
	k.markSuspects(k.dispatcher.Lost())
	k.stepDown(fulmaroutcome.NotHolder)
}

func (k *keeper) failed(err error) {
	k.failures++
	k.c.Counter.Count("renewal_failed")
	if k.failures < failuresLost {
		return
	}
	k.c.Log.Warn("target lost", "target", k.id, "error", err)
	k.c.Counter.Count("target_lost")
	k.dispatcher.Suspend()
	k.setLost(true, k.markSuspects(k.dispatcher.Lost()))
}

// markSuspects puts work that was in flight at a loss under suspicion here at
// once; other daemons learn of it with the table.
func (k *keeper) markSuspects(fingerprints []uint64) []uint64 {
	if len(fingerprints) > 0 {
		k.c.Guard.Lost(time.Now(), fingerprints)
	}
	return fingerprints
}

func (k *keeper) setLost(lost bool, suspects []uint64) {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	if k.lost == lost && !lost {
		return
	}
	k.lost, k.suspects = lost, suspects
	k.c.notify()
	k.c.kickPlanner()
}

// probeLost asks whether a lost target is back, and gives up its grant if so:
// taking over by a new term starts from the state of the target.
func (k *keeper) probeLost(ctx context.Context, t fulmarslot.Target) {
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	if _, err := k.c.Targets.State(callCtx, t.Address); err != nil {
		return
	}
	k.c.Log.Info("target is back", "target", k.id)
	k.stepDown(fulmaroutcome.NotHolder)
}

// stopMoving stops admission for slots that started to move and resumes it
// for those whose move was cancelled.
func (k *keeper) stopMoving() {
	k.c.mu.Lock()
	moving := k.c.table.MovingFrom(nil, k.id)
	owned := k.c.table.OwnedBy(nil, k.id)
	k.c.mu.Unlock()
	for _, slot := range moving {
		if _, ok := k.stopping[slot]; !ok {
			k.stopping[slot] = k.dispatcher.Stop([]int{slot})
		}
	}
	for slot := range k.stopping {
		if slices.Contains(owned, slot) {
			k.dispatcher.Resume([]int{slot})
			delete(k.stopping, slot)
		} else if !slices.Contains(moving, slot) {
			delete(k.stopping, slot)
		}
	}
}

// inForce follows a grant that the target accepted: new slots are admitted,
// and slots that the grant no longer has are released.
func (k *keeper) inForce(ctx context.Context, t fulmarslot.Target, g fulmargrant.Grant, owned []int) {
	k.importMemory(t, owned)
	k.dispatcher.Grant(g.Epoch, owned)
	k.admitted = owned
	var idle []int
	for slot := range k.stopping {
		if !slices.Contains(g.Slots, slot) {
			idle = append(idle, slot)
		}
	}
	if len(idle) > 0 {
		slices.Sort(idle)
		k.release(ctx, t, g.Epoch, idle)
	}
}

// importMemory gives the dispatcher the memory that came with slots it now owns.
func (k *keeper) importMemory(t fulmarslot.Target, owned []int) {
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.imports[k.id]
	for slot, in := range pending {
		if !slices.Contains(owned, slot) || c.table.Assignment(t.Service, slot).Since != in.since {
			continue
		}
		k.dispatcher.Import(in.snapshot)
		delete(pending, slot)
	}
}

// release hands over the memory of slots that are no longer in force at the
// target and then reports them to the planner.
func (k *keeper) release(ctx context.Context, t fulmarslot.Target, epoch uint64, slots []int) {
	k.c.mu.Lock()
	if k.released(slots) {
		k.refreshReleases(epoch, slots)
		k.c.mu.Unlock()
		return
	}
	byNext := make(map[string][]int)
	for _, slot := range slots {
		byNext[k.c.table.Assignment(t.Service, slot).Next] = append(byNext[k.c.table.Assignment(t.Service, slot).Next], slot)
	}
	k.c.mu.Unlock()
	accepted := true
	for next, moved := range byNext {
		if next != "" && !k.transfer(ctx, t.Service, next, moved) {
			accepted = false
		}
	}
	if k.transfers++; !accepted && k.transfers < maxTransfers {
		return
	}
	if !accepted {
		k.c.Counter.Count("memory_not_transferred")
		k.c.Log.Warn("request memory not transferred", "target", k.id, "slots", len(slots))
	}
	k.transfers = 0
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	k.releases = append(k.releases, fulmarwire.Release{Target: k.id, Service: t.Service, Slots: slots, Epoch: epoch})
	k.c.notify()
	k.c.kickPlanner()
}

// transferLost hands over the memory of slots that were forced away from a
// lost target, once work in flight has ended as unknown. The planner decides at
// the end of the move whether this daemon alone dispatched there, and so whether
// the memory counts.
func (k *keeper) transferLost(ctx context.Context, t fulmarslot.Target) {
	byNext := make(map[string][]int)
	k.c.mu.Lock()
	for slot, idle := range k.stopping {
		a := k.c.table.Assignment(t.Service, slot)
		if a.Owner != k.id || !a.Forced || k.transferred[slot] == a.Since {
			continue
		}
		select {
		case <-idle:
			byNext[a.Next] = append(byNext[a.Next], slot)
			k.transferred[slot] = a.Since
		default:
		}
	}
	k.c.mu.Unlock()
	for next, slots := range byNext {
		slices.Sort(slots)
		if !k.transfer(ctx, t.Service, next, slots) {
			k.c.Counter.Count("memory_not_transferred")
			k.c.Log.Warn("request memory not transferred", "target", k.id, "slots", len(slots))
		}
	}
}

// released reports whether all slots are in a release already; mu must be held.
func (k *keeper) released(slots []int) bool {
	for _, slot := range slots {
		if !slices.ContainsFunc(k.releases, func(r fulmarwire.Release) bool { return slices.Contains(r.Slots, slot) }) {
			return false
		}
	}
	return true
}

// refreshReleases brings reports on the slots up to the epoch of a grant that
// still lacks them; mu must be held. A planner that took over, or that read the
// table back after a lost answer, counts a move from the epoch in which it first
// saw it, and would wait for a report from then on without end.
func (k *keeper) refreshReleases(epoch uint64, slots []int) {
	refreshed := false
	for i, r := range k.releases {
		if r.Epoch >= epoch {
			continue
		}
		var still []int // the others have ended their move
		for _, slot := range r.Slots {
			if slices.Contains(slots, slot) {
				still = append(still, slot)
			}
		}
		if len(still) > 0 {
			k.releases[i].Epoch, k.releases[i].Slots = epoch, still
			refreshed = true
		}
	}
	if refreshed {
		k.c.notify()
		k.c.kickPlanner()
	}
}

// pruneReleases drops reports on slots that no longer move; mu must be held.
func (k *keeper) pruneReleases() {
	if len(k.releases) == 0 {
		return
	}
	moving := k.c.table.MovingFrom(nil, k.id)
	k.releases = slices.DeleteFunc(k.releases, func(r fulmarwire.Release) bool {
		return !slices.ContainsFunc(r.Slots, func(slot int) bool { return slices.Contains(moving, slot) })
	})
}

// transfer sends request memory to the dispatcher of the next owner and reports
// whether it was accepted. Without it that dispatcher starts with an empty
// memory and a later horizon.
func (k *keeper) transfer(ctx context.Context, service, next string, slots []int) bool {
	c := k.c
	message := &fulmarwire.Transfer{Target: next, Since: make(map[int]uint64), Snapshot: k.dispatcher.Export(slots)}
	c.mu.Lock()
	for _, slot := range slots {
		message.Since[slot] = c.table.Assignment(service, slot).Since
	}
	holder, ok := c.holderLocked(next, time.Now())
	p := c.peers[holder.ID]
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	switch {
	case ok && holder.ID == c.Self.ID:
		reply, _ := c.Calls(ctx).Transfer(callCtx, message)
		return reply.Accepted
	case ok && p != nil:
		reply, err := p.bulk.Transfer(callCtx, message)
		return err == nil && reply.Accepted
	}
	return false
}

// acquire takes over the target unless a live daemon holds it. handed is the
// offer of the former dispatcher, nil if there is none.
func (k *keeper) acquire(ctx context.Context, t fulmarslot.Target, handed *fulmarwire.Handover) string {
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	state, err := k.c.Targets.State(callCtx, t.Address)
	received := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			k.acquireFailed(err)
		}
		return "target does not answer"
	}
	k.failures = 0
	k.setLost(false, nil)
	if handed == nil && k.heldByOther(state, received) {
		return "held by another daemon"
	}
	// A term that grows with the clock exceeds those of a target's former
	// process, which a restarted target does not know.
	term := max(state.Term+1, uint64(received.UnixMilli()))
	if handed != nil {
		if state.Term != handed.Term {
			return "held by another daemon since"
		}
		// The former dispatcher may try for the same term; see reclaim.
		term = handed.Term + 1
	}
	g, owned, ok := k.grantNow(term, state.Stamp, received)
	if !ok {
		return "no quorum lease"
	}
	state2, err := k.c.Targets.Grant(callCtx, t.Address, g)
	received = time.Now()
	if err != nil {
		k.c.Log.Info("takeover refused", "target", k.id, "error", err)
		return "takeover refused"
	}
	k.term, k.stamp, k.stampAt = term, state2.Stamp, received
	k.open(ctx, t, takeover{before: state, after: state2, at: received, grant: g, owned: owned, handed: handed})
	return ""
}

func (k *keeper) acquireFailed(err error) {
	k.failures++
	if k.failures < failuresLost {
		time.AfterFunc(secondLook, k.wake)
		return
	}
	if !k.lost {
		k.c.Log.Warn("target does not answer", "target", k.id, "error", err)
		k.setLost(true, nil)
	}
}

// heldByOther reports whether a live daemon holds the target. A live holder
// that let its grant lapse has some time to renew it before it is displaced.
func (k *keeper) heldByOther(state fulmargrant.State, now time.Time) bool {
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	id, incarnation, ok := parseHolder(state.Holder)
	if !ok || state.Holder == c.holderName() || id == c.Self.ID {
		return false
	}
	p, known := c.peers[id]
	if !known || p.Incarnation != incarnation || c.view.State(now, id) == fulmarmember.Down {
		// To a daemon that is itself cut off from the others, silence of the
		// holder says nothing. If it displaced holders that renew their grants,
		// both sides would take the target from each other without end.
		return state.Lapse > 0 && !c.hearsMajority(now)
	}
	c.learned[k.id] = id
	if state.Lapse > 0 {
		k.lapsedSince = time.Time{}
		return true
	}
	if k.lapsedSince.IsZero() {
		k.lapsedSince = now
	}
	return now.Sub(k.lapsedSince) < holderPatience
}

// hearsMajority reports whether a majority of the roster, self included, is not down; mu must be held.
func (c *Controller) hearsMajority(now time.Time) bool {
	roster, heard := c.table.Roster(), 0
	for _, m := range roster {
		if m.ID == c.Self.ID || c.view.State(now, m.ID) != fulmarmember.Down {
			heard++
		}
	}
	return 2*heard > len(roster)
}

// takeover is a grant that the target accepted from its new dispatcher.
type takeover struct {
	before, after fulmargrant.State // of the target
	at            time.Time         // when after was received
	grant         fulmargrant.Grant
	owned         []int
	handed        *fulmarwire.Handover // nil unless the former dispatcher offered the target
}

// complete returns a time after which no order of an earlier dispatcher started
// for the keys that the target owns now. The target tells when it last admitted
// one; that counts only if all these keys were its own since the last grant,
// because an order for a key may also have run at a former owner.
func (c *Controller) complete(t takeover, target string) (time.Time, bool) {
	if t.after.Last == 0 || t.before.Term == 0 || !c.Table().Steady(target, t.before.Epoch) {
		return time.Time{}, false
	}
	age := t.after.Stamp - t.after.Last
	return t.at.Add(-age + time.Duration(float64(age)*clockDrift)), true
}

// open starts the dispatcher of a target that was taken over.
func (k *keeper) open(ctx context.Context, t fulmarslot.Target, take takeover) {
	d := k.c.NewDispatcher(t)
	before, g, owned, handed := take.before, take.grant, take.owned, take.handed
	known := time.Duration(0) // how long before now the memory may begin
	if at, ok := k.c.complete(take, k.id); ok {
		d.SetComplete(at)
		known = time.Since(at)
	}
	if handed != nil {
		// Memory of slots that are not owned now would be stale when they return.
		for _, slot := range owned {
			d.Import(snapshotOf(handed.Snapshot, slot))
		}
	}
	d.Open(g.Term, max(before.Slots-before.Running, 1), owned)
	k.c.mu.Lock()
	k.dispatcher, k.holding = d, true
	k.admitted, k.betterSince, k.lapsedSince = owned, time.Time{}, time.Time{}
	clear(k.stopping)
	clear(k.transferred)
	k.releases = nil
	k.c.notify()
	k.c.mu.Unlock()
	k.c.Log.Info("target taken over", "target", k.id, "term", g.Term, "epoch", g.Epoch, "slots", len(owned), "handover", handed != nil, "known", known)
	k.stopMoving()
	k.inForce(ctx, t, g, owned)
}

// stepDown ends dispatching here; waiting requests end as not run.
func (k *keeper) stepDown(reason fulmaroutcome.Reason) {
	k.c.mu.Lock()
	d := k.dispatcher
	k.dispatcher, k.holding = nil, false
	k.lost, k.suspects, k.releases = false, nil, nil
	k.c.notify()
	k.c.mu.Unlock()
	clear(k.stopping)
	clear(k.transferred)
	k.admitted, k.failures, k.contested = nil, 0, false
	if d != nil {
		d.Close(reason)
	}
}

// stepUnfenced keeps a target that checks no fence. Its dispatcher is fixed
// in the table, and only the quorum lease bounds how long this daemon may
// send orders to it.
func (k *keeper) stepUnfenced(ctx context.Context, t fulmarslot.Target) {
	if t.Dispatcher != k.c.Self.ID {
		if k.dispatcher != nil {
			k.stepDown(fulmaroutcome.NotHolder)
		}
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	state, err := k.c.Targets.State(callCtx, t.Address)
	k.c.mu.Lock()
	held := k.c.held(time.Now())
	epoch := k.c.table.Epoch()
	owned := k.c.table.OwnedBy(nil, k.id)
	k.c.mu.Unlock()
	switch {
	case err != nil && ctx.Err() == nil && k.dispatcher != nil && !k.lost:
		k.failed(err)
	case err != nil:
		if k.dispatcher == nil && ctx.Err() == nil {
			k.acquireFailed(err)
		}
	case !held && k.dispatcher != nil:
		k.stepDown(fulmaroutcome.Stale)
	case held && k.dispatcher == nil:
		k.setLost(false, nil)
		k.open(ctx, t, takeover{before: state, grant: fulmargrant.Grant{Epoch: epoch, Slots: owned}, owned: owned})
	case held && k.lost:
		k.stepDown(fulmaroutcome.NotHolder)
	case held:
		k.failures = 0
		k.stopMoving()
		k.inForce(ctx, t, fulmargrant.Grant{Epoch: epoch, Slots: append(owned, k.busy()...)}, owned)
	}
}

// busy returns the stopped slots that still have work in flight.
func (k *keeper) busy() []int {
	var out []int
	for slot, idle := range maps.All(k.stopping) {
		select {
		case <-idle:
		default:
			out = append(out, slot)
		}
	}
	return out
}

// Fenced wakes the keeper of a target that refused an order by its fence, so
// that a dispatcher that was displaced learns of it before the next renewal.
func (c *Controller) Fenced(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k, ok := c.keepers[target]; ok {
		k.wake()
	}
}
