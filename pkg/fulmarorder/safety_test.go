package fulmarorder_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarledger"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	modelGrantTTL    = 1900 * time.Millisecond
	modelMaxGrantTTL = 10 * time.Second
	modelKeys        = 64 // keys that moves affect; few, so that moves overlap
)

var modelTiming = fulmarorder.Timing{
	GrantTTL: modelGrantTTL, RenewInterval: 450 * time.Millisecond, RetryInterval: 100 * time.Millisecond, MaxGrantTTL: modelMaxGrantTTL,
}

// heldKey is a target's state of one key.
type heldKey struct {
	until time.Time
	fence int64
}

// modelTarget implements the specified behaviour of a target: a grant is refused if a greater fence was seen for
// one of its keys, its duration counts from its arrival on a clock that may be slow, and a release is never refused.
// Only a release ends a grant early: the protocol does not say that a later grant of a shorter duration does.
type modelTarget struct {
	incarnation fulmarrange.Incarnation
	cut         bool // the leader cannot reach it
	// fresh marks an incarnation whose entry the leader has not read: orders for the previous one reach it.
	fresh bool
	keys  [modelKeys]heldKey
	// grants is the connection on which it gets grants; nil if none is open.
	grants *modelConnection
}

// modelConnection is a connection on which a target handles one order after the other.
type modelConnection struct {
	number  int64
	orders  int       // that were sent on it
	handled time.Time // when the target has handled all of them
	refused bool      // the target has refused a grant on it, which the answer to a later order shows
}

func (m *modelTarget) grant(now, arrived time.Time, o fulmarorder.Order) bool {
	for k := o.From; k <= min(o.To, modelKeys-1); k++ {
		if m.keys[k].fence > o.Fence {
			return false
		}
	}
	until := arrived.Add(o.TTL * 102 / 100)
	for k := o.From; k <= min(o.To, modelKeys-1); k++ {
		m.keys[k].fence = o.Fence
		if until.After(now) && until.After(m.keys[k].until) {
			m.keys[k].until = until
		}
	}
	return true
}

func (m *modelTarget) release(now time.Time, o fulmarorder.Order) {
	for k := o.From; k <= min(o.To, modelKeys-1); k++ {
		if m.keys[k].until.After(now) {
			m.keys[k].until = now
		}
	}
}

// delayedGrant is a grant that is applied later: it was not answered, or its answer was the copy of an earlier one.
type delayedGrant struct {
	at, arrived time.Time
	order       fulmarorder.Order
	connection  *modelConnection
	to          *modelTarget
}

// workingRelease is a release that a target answers later, when its work on the keys has ended.
type workingRelease struct {
	at        time.Time
	scheduler *fulmarorder.Scheduler
	order     fulmarorder.Order
	entry     fulmarledger.OrderID
	reply     fulmarorder.Reply
	to        *modelTarget
}

// model runs a scheduler against targets under faults.
type model struct {
	t         *rapid.T
	now       time.Time
	table     fulmarrange.Table
	scheduler *fulmarorder.Scheduler
	targets   map[string]*modelTarget
	late      []delayedGrant
	// pending is a table whose write was not acknowledged and that may still take effect, nil for none.
	pending *fulmarrange.Table
	// extended reports that the leader sends grants of the maximum duration.
	extended bool
	fences   [modelKeys]map[fulmarrange.Incarnation]int64 // greatest fence by incarnation
	// connections is the number of connections that were opened.
	connections int64
	outcomes    *rapid.Generator[int] // of orders
	working     []workingRelease
	restorable
}

func (m *model) check() {
	for k := range modelKeys {
		holders := 0
		for _, t := range m.targets {
			if t.keys[k].until.After(m.now) {
				holders++
			}
		}
		if holders > 1 {
			m.t.Fatalf("key %d has %d holders at %s", k, holders, m.now)
		}
	}
}

// applied checks that an incarnation takes a key only under a fence above those of all other incarnations.
func (m *model) applied(o fulmarorder.Order) {
	for k := o.From; k <= min(o.To, modelKeys-1); k++ {
		for incarnation, fence := range m.fences[k] {
			if incarnation != o.Incarnation && fence >= o.Fence {
				m.t.Fatalf("key %d goes to %v with fence %d, %v had %d", k, o.Incarnation, o.Fence, incarnation, fence)
			}
		}
		if m.fences[k] == nil {
			m.fences[k] = make(map[fulmarrange.Incarnation]int64)
		}
		m.fences[k][o.Incarnation] = max(m.fences[k][o.Incarnation], o.Fence)
	}
}

func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		i := m.nextWorking()
		if i < 0 || m.working[i].at.After(end) {
			break
		}
		w := m.working[i]
		m.working = append(m.working[:i], m.working[i+1:]...)
		m.applyLate(w.at)
		m.now = w.at
		var err error
		if m.targets[w.order.Incarnation.ID] != w.to {
			w.reply, err = fulmarorder.Reply{}, fulmarorder.ErrUnanswered
		}
		w.scheduler.EndSend(m.now, w.order, w.entry, w.reply, err)
	}
	m.applyLate(end)
	m.now = end
	m.check()
}

// nextWorking returns the index of the release that is answered next, or -1.
func (m *model) nextWorking() int {
	next := -1
	for i, w := range m.working {
		if next < 0 || w.at.Before(m.working[next].at) {
			next = i
		}
	}
	return next
}

// applyLate makes targets handle the delayed grants up to end.
func (m *model) applyLate(end time.Time) {
	for i := 0; i < len(m.late); {
		l := m.late[i]
		if l.at.After(end) {
			i++
			continue
		}
		m.late = append(m.late[:i], m.late[i+1:]...)
		m.now = l.at
		m.handle(l)
		m.check()
	}
}

// handle makes a target handle a delayed grant, unless its process has ended.
func (m *model) handle(l delayedGrant) {
	if m.targets[l.order.Incarnation.ID] != l.to {
		return
	}
	if !l.to.grant(m.now, l.arrived, l.order) {
		l.connection.refused = true
		return
	}
	if l.arrived.Add(l.order.TTL * 102 / 100).After(m.now) {
		delivered := l.order
		delivered.Incarnation = l.to.incarnation
		m.applied(delivered)
	}
}

// handleAll makes a target handle the delayed grants of a connection before a later order on it.
func (m *model) handleAll(c *modelConnection) {
	var others []delayedGrant
	for _, l := range m.late {
		if l.connection == c {
			m.handle(l)
		} else {
			others = append(others, l)
		}
	}
	m.late = others
}

// handleFirst makes a target handle the first delayed grant of a connection, and none of the others.
func (m *model) handleFirst(c *modelConnection) {
	var others []delayedGrant
	handled := false
	for _, l := range m.late {
		switch {
		case l.connection != c:
			others = append(others, l)
		case !handled:
			handled = true
			m.handle(l)
		}
	}
	m.late = others
}

// observe makes the leader read the targets' entries.
func (m *model) observe() {
	for _, t := range m.targets {
		t.fresh = false
	}
}

// order sends the next order of a target with a random outcome, and reports whether one was due.
func (m *model) order(id string) bool {
	t := m.targets[id]
	incarnation := t.incarnation
	if t.fresh {
		incarnation.Born--
	}
	o, _, ok := m.scheduler.Next(m.now, incarnation)
	if !ok {
		return false
	}
	entry := m.scheduler.BeginSend(o)
	c := m.connect(t, o)
	outcome := m.outcomes.Draw(m.t, "outcome")
	if c == nil || t.cut || outcome == 0 {
		t.closeAfter(o)
		m.scheduler.EndSend(m.now, o, entry, fulmarorder.Reply{}, fulmarorder.ErrUnsent)
		return true
	}
	c.orders++
	reply := fulmarorder.Reply{Handover: "x", Connection: c.number, Certain: c.orders == 1 || o.Kind == fulmarorder.Release}
	if outcome == 8 && o.Kind == fulmarorder.Release && !o.AfterGrants {
		t.release(m.now, o)
		at := m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(m.t, "work")) * time.Millisecond)
		m.working = append(m.working, workingRelease{at, m.scheduler, o, entry, reply, t})
		m.check()
		return true
	}
	closing := outcome == 9 && (o.Kind == fulmarorder.Grant || m.pendingOn(c) == 0)
	err := m.send(t, c, o, outcome, closing)
	reply.Closing = closing
	if err != nil {
		reply = fulmarorder.Reply{}
	}
	if err != nil || closing {
		t.closeAfter(o)
	}
	m.scheduler.EndSend(m.now, o, entry, reply, err)
	m.check()
	return true
}

// connect returns the connection for an order: a new one, or that of the grants. It returns nil if the order requires a known
// connection and there is none.
func (m *model) connect(t *modelTarget, o fulmarorder.Order) *modelConnection {
	if o.RequireKnownConnection {
		return t.grants
	}
	m.connections++
	c := &modelConnection{number: m.connections}
	if o.Kind == fulmarorder.Grant {
		t.grants = c
	}
	return c
}

// pendingOn returns the number of grants on a connection that are still under way.
func (m *model) pendingOn(c *modelConnection) (n int) {
	for _, l := range m.late {
		if l.connection == c {
			n++
		}
	}
	return n
}

// closeAfter closes the connection of an order that has failed, or whose answer was the last one.
func (m *modelTarget) closeAfter(o fulmarorder.Order) {
	if o.Kind == fulmarorder.Grant || o.AfterGrants {
		m.grants = nil
	}
}

// send sends an order on a connection and returns the result as a client reports it.
func (m *model) send(t *modelTarget, c *modelConnection, o fulmarorder.Order, outcome int, closing bool) error {
	// A copy was sent before: the target handles the order later than those before it, and the answer that comes first is theirs.
	delay := func() delayedGrant {
		at := m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(m.t, "delay")) * time.Millisecond)
		if at.Before(c.handled) {
			at = c.handled
		}
		c.handled = at
		return delayedGrant{at, m.now, o, c, t}
	}
	switch {
	case outcome == 1: // not answered and not applied
		m.advance(500 * time.Millisecond)
		return fulmarorder.ErrUnanswered
	case outcome == 2 && o.Kind == fulmarorder.Grant: // not answered, applied later
		m.late = append(m.late, delay())
		m.advance(500 * time.Millisecond)
		return fulmarorder.ErrUnanswered
	case outcome >= 10 && o.Kind == fulmarorder.Grant && c.orders > 1 && !c.refused:
		// A copy of an earlier answer comes first: of a success, or of a refusal, which the client doesn't believe.
		m.late = append(m.late, delay())
		if outcome == 10 {
			return nil
		}
		return fulmarorder.ErrUncertain
	}
	if closing && m.pendingOn(c) > 0 {
		// The answer is that of the first grant that is under way, so the target handles neither the others nor this one.
		m.handleFirst(c)
		if c.refused {
			return fulmarorder.ErrUncertain
		}
		return nil
	}
	m.handleAll(c)
	if c.refused { // the answer to an earlier grant comes first; the target handles the order all the same
		if o.Kind == fulmarorder.Grant {
			m.deliver(t, o)
		} else {
			t.release(m.now, o)
		}
		return fulmarorder.ErrUncertain
	}
	switch {
	case o.Kind == fulmarorder.Release:
		t.release(m.now, o)
		if outcome == 2 {
			m.advance(500 * time.Millisecond)
			return fulmarorder.ErrUnanswered
		}
		return nil
	case m.deliver(t, o):
		return nil
	case c.orders == 1:
		return fulmarorder.ErrRefused
	}
	return fulmarorder.ErrUncertain
}

// deliver makes a target handle a grant at once, and reports whether it has applied it.
func (m *model) deliver(t *modelTarget, o fulmarorder.Order) bool {
	if !t.grant(m.now, m.now, o) {
		return false
	}
	delivered := o
	delivered.Incarnation = t.incarnation
	m.applied(delivered)
	return true
}

// move commits a table that assigns random keys to the target.
func (m *model) move(id string) {
	from := rapid.IntRange(0, modelKeys-1).Draw(m.t, "from")
	to := rapid.IntRange(from, modelKeys-1).Draw(m.t, "to")
	m.table = m.table.WithOwner(from, to, m.targets[id].incarnation)
	m.commit()
}

// loseWrite writes a table that assigns random keys to the target, without an acknowledgement.
func (m *model) loseWrite(id string) {
	if m.now.Before(m.heldUntil) {
		return
	}
	from := rapid.IntRange(0, modelKeys-1).Draw(m.t, "from")
	next := m.table.WithOwner(from, min(from+modelKeys/4, modelKeys-1), m.targets[id].incarnation)
	next = next.WithExtendedGrants(m.scheduler.ExtendedGrants(m.now))
	m.scheduler.SetPendingTable(next)
	m.pending = &next
}

// repeatWrite repeats the write of the pending table, which the store refuses or acknowledges.
func (m *model) repeatWrite() {
	if rapid.Bool().Draw(m.t, "refused") {
		return
	}
	m.table, m.pending = *m.pending, nil
	m.write(m.table)
	m.scheduler.Commit(m.table)
}

// extend switches between grants of the normal and of the maximum duration.
func (m *model) extend() {
	m.extended = !m.extended
	ttl := modelGrantTTL
	if m.extended {
		ttl = modelMaxGrantTTL * 95 / 100
	}
	m.scheduler.SetGrantTTL(m.now, ttl)
}

// setPace changes the time between renewals and the duration of grants, as a leader does when the number of ranges changes.
func (m *model) setPace() {
	renew := time.Duration(rapid.IntRange(450, 3900).Draw(m.t, "renew")) * time.Millisecond
	m.scheduler.SetPace(renew, max(modelGrantTTL, renew*12/5))
}

// settle removes obsolete prior claims and renews fences where needed.
func (m *model) settle() {
	for _, s := range m.scheduler.SegmentsWithObsoletePrior() {
		for _, p := range s.PriorClaims {
			m.table = m.table.WithoutPriorClaim(s.From, s.To, p)
		}
	}
	for _, s := range m.table.Segments() {
		if s.HasOwner() && m.scheduler.NeedsNewFence(s.Owner.Incarnation) {
			m.table = m.table.WithRenewedFence(s.From, s.To)
		}
	}
	m.commit()
}

// commit writes the table and passes it to the scheduler.
func (m *model) commit() {
	if m.now.Before(m.heldUntil) {
		m.table = m.scheduler.Table() // nothing is written
		return
	}
	m.table = m.table.WithExtendedGrants(m.scheduler.ExtendedGrants(m.now))
	m.write(m.table)
	m.scheduler.Commit(m.table)
}

// Guards against two targets that hold a key at once: with unanswered grants that are applied late, answers that are copies of
// earlier ones, slow clocks, targets that crash and restart, new leaders that know only the table, and stores that come back from an
// older copy.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := m.drawActions()
		for range 300 {
			rapid.SampledFrom(actions).Draw(t, "action").run(rapid.SampledFrom(modelTargets).Draw(t, "target"))
		}
	})
}

// Guards against a ledger in which a grant expires earlier than on a target with a slow clock.
func TestExpiry(t *testing.T) {
	l := fulmarledger.New()
	const id = "a"
	now := time.Unix(1000, 0)
	entry := l.Begin(id, 0, 10, 1, time.Second)
	if free, at := l.Free(now, id, 5, 5); free || !at.IsZero() {
		t.Fatal("keys are free while a grant is in flight")
	}
	l.Answered(now, id, entry, 1, true)
	if free, _ := l.Free(now.Add(1019*time.Millisecond), id, 5, 5); free {
		t.Fatal("keys are free before the grant expires on a slow clock")
	}
	if free, _ := l.Free(now.Add(1100*time.Millisecond), id, 5, 5); !free {
		t.Fatal("keys are not free after the grant has expired")
	}
}

// Guards against a grant on one connection that counts as decided since the target has handled those of another.
func TestAllHandled(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		connection int64
		free       bool
	}{{"same connection", 1, true}, {"another connection", 2, false}} {
		t.Run(c.name, func(t *testing.T) {
			l := fulmarledger.New()
			l.Answered(now, "a", l.Begin("a", 0, 10, 1, time.Second), 1, false)
			release := l.BeginRelease()
			l.AllHandled("a", c.connection, release)
			l.Released("a", 0, 10, release)
			if free, _ := l.Free(now, "a", 5, 5); free != c.free {
				t.Fatalf("keys are free: %t", free)
			}
		})
	}
}
