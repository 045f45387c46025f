package fulmarorder_test

import (
	"fmt"
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
type modelTarget struct {
	incarnation fulmarrange.Incarnation
	cut         bool // the leader cannot reach it
	// fresh marks an incarnation whose entry the leader has not read: orders for the previous one reach it.
	fresh bool
	keys  [modelKeys]heldKey
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
		if until.After(now) {
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

// delayedGrant is an unanswered grant that is applied later.
type delayedGrant struct {
	at, arrived time.Time
	order       fulmarorder.Order
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
	for i := 0; i < len(m.late); {
		l := m.late[i]
		if l.at.After(end) {
			i++
			continue
		}
		m.late = append(m.late[:i], m.late[i+1:]...)
		m.now = l.at
		expires := l.arrived.Add(l.order.TTL * 102 / 100)
		if t := m.targets[l.order.Incarnation.ID]; t.incarnation == l.order.Incarnation && t.grant(m.now, l.arrived, l.order) && expires.After(m.now) {
			m.applied(l.order)
		}
		m.check()
	}
	m.now = end
	m.check()
}

// observe makes the leader read the targets' entries.
func (m *model) observe() {
	for _, t := range m.targets {
		t.fresh = false
	}
}

// order sends the next order of a target with a random outcome.
func (m *model) order(id string) {
	t := m.targets[id]
	incarnation := t.incarnation
	if t.fresh {
		incarnation.Born--
	}
	o, _, ok := m.scheduler.Next(m.now, incarnation)
	if !ok {
		return
	}
	entry := m.scheduler.BeginSend(o)
	if o.RequireKnownConnection && t.fresh {
		m.scheduler.EndSend(m.now, o, entry, "", fulmarorder.ErrUnsent) // the connection ended with the previous incarnation
		return
	}
	outcome := rapid.IntRange(0, 9).Draw(m.t, "outcome")
	switch {
	case t.cut || outcome == 0:
		m.scheduler.EndSend(m.now, o, entry, "", fulmarorder.ErrUnsent)
	case outcome == 1: // not answered and not applied
		m.advance(500 * time.Millisecond)
		m.scheduler.EndSend(m.now, o, entry, "", fulmarorder.ErrUnanswered)
	case outcome == 2: // not answered, applied at once or later
		delay := time.Duration(rapid.IntRange(0, 9000).Draw(m.t, "delay")) * time.Millisecond
		if o.Kind == fulmarorder.Grant {
			m.late = append(m.late, delayedGrant{m.now.Add(delay), m.now, o})
		} else {
			t.release(m.now, o)
		}
		m.advance(500 * time.Millisecond)
		m.scheduler.EndSend(m.now, o, entry, "", fulmarorder.ErrUnanswered)
	case o.Kind == fulmarorder.Release:
		t.release(m.now, o)
		m.scheduler.EndSend(m.now, o, entry, "x", nil)
	case t.grant(m.now, m.now, o):
		delivered := o
		delivered.Incarnation = t.incarnation
		m.applied(delivered)
		m.scheduler.EndSend(m.now, o, entry, "", nil)
	default:
		m.scheduler.EndSend(m.now, o, entry, "", fulmarorder.ErrRefused)
	}
	m.check()
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
	m.table = m.table.WithExtendedGrants(m.scheduler.ExtendedGrants(m.now))
	m.scheduler.Commit(m.table)
}

// Guards against two targets that hold a key at once: with unanswered grants that are applied late, slow clocks,
// targets that crash and restart, and new leaders that know only the table.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: time.Unix(1000, 0), table: fulmarrange.New(), targets: make(map[string]*modelTarget)}
		for i := range 3 {
			id := fmt.Sprintf("t%d", i)
			m.targets[id] = &modelTarget{incarnation: fulmarrange.Incarnation{ID: id, Born: 1}}
		}
		m.scheduler = fulmarorder.New(m.now, m.table, modelTiming)
		ids := rapid.SampledFrom([]string{"t0", "t1", "t2"})
		for range 300 {
			id := ids.Draw(t, "id")
			switch action := rapid.IntRange(0, 22).Draw(t, "action"); {
			case action < 11:
				m.order(id)
			case action < 14:
				m.advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
			case m.pending != nil && (action < 17 || action == 21): // no other table is written
				m.repeatWrite()
			case action == 21:
				m.loseWrite(id)
			case action < 16:
				m.move(id)
			case action < 17:
				m.settle()
			case action == 17: // the target restarts; the leader may read its entry later
				target := m.targets[id]
				next := &modelTarget{incarnation: fulmarrange.Incarnation{ID: id, Born: target.incarnation.Born + 1}, fresh: true}
				m.targets[id] = next
				if rapid.Bool().Draw(t, "read") {
					m.observe()
				}
			case action == 18: // a new leader replaces one whose lease has ended
				var latest time.Time
				if rapid.Bool().Draw(t, "told") {
					latest = m.scheduler.LatestExpiry(m.now)
				}
				m.advance(1200 * time.Millisecond)
				if m.pending != nil && rapid.Bool().Draw(t, "effective") {
					m.table = *m.pending // the unacknowledged write took effect while its leader still led
				}
				m.pending = nil
				m.scheduler = fulmarorder.New(m.now, m.table, modelTiming)
				if !latest.IsZero() {
					m.scheduler.LimitInherited(latest)
				}
				m.extended = false
				m.observe()
				m.settle()
			case action == 19: // the store becomes unavailable, so that grants are extended, or available again
				m.extend()
			case action == 22:
				m.setPace()
			default:
				m.targets[id].cut = !m.targets[id].cut
			}
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
	l.Answered(now, id, entry)
	if free, _ := l.Free(now.Add(1019*time.Millisecond), id, 5, 5); free {
		t.Fatal("keys are free before the grant expires on a slow clock")
	}
	if free, _ := l.Free(now.Add(1100*time.Millisecond), id, 5, 5); !free {
		t.Fatal("keys are not free after the grant has expired")
	}
}
