package fulmarorder_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrecovery"
)

// modelTargets are the ids of the targets of a model.
var modelTargets = []string{"t0", "t1", "t2"}

// action is a step of a history.
type action struct {
	name   string
	weight int
	always bool // is part of every history
	run    func(id string)
}

// newModel returns a model with a leader that has been elected for the first time. In half of the histories it may send orders: the
// first leader sends none until all grants that others may have sent have lapsed, which takes most of a history.
func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), table: fulmarrange.New(), targets: make(map[string]*modelTarget)}
	for _, id := range modelTargets {
		m.targets[id] = &modelTarget{incarnation: fulmarrange.Incarnation{ID: id, Born: 1}}
	}
	m.outcomes = drawOutcomes(t)
	m.restorable = newRestorable(m.now, m.table)
	m.elect()
	if rapid.Bool().Draw(t, "first hold has ended") {
		m.advance(m.heldUntil.Sub(m.now))
	}
	return m
}

// drawOutcomes returns the outcomes of orders in a history: all, or few kinds of failures, as a long series of successes is
// unlikely among all.
func drawOutcomes(t *rapid.T) *rapid.Generator[int] {
	if rapid.Bool().Draw(t, "all outcomes") {
		return rapid.IntRange(0, 11)
	}
	outcomes := []int{3, 4, 5, 6, 7, 8}
	for _, failure := range []int{0, 1, 2, 9, 10, 11} {
		if rapid.Bool().Draw(t, "failure") {
			outcomes = append(outcomes, failure)
		}
	}
	return rapid.SampledFrom(outcomes)
}

// drawActions returns the actions of a history, each as often as its weight: all, or a random part of them. Faults that need a quiet
// time, such as a long grant that outlasts later ones, are rare in histories of all actions.
func (m *model) drawActions() (drawn []action) {
	all := rapid.Bool().Draw(m.t, "all actions")
	for _, a := range m.actions() {
		if !a.always && !all && !rapid.Bool().Draw(m.t, a.name) {
			continue
		}
		for range a.weight {
			drawn = append(drawn, a)
		}
	}
	return drawn
}

func (m *model) actions() []action {
	return []action{
		{"order", 11, true, func(id string) { m.order(id) }},
		{"probe", 2, false, m.probe},
		{"wait", 3, true, func(string) { m.wait(600 * time.Millisecond) }},
		{"lead", 4, true, func(string) { m.lead() }},
		{"move", 2, true, m.writing(m.move)},
		{"settle", 1, true, m.writing(func(string) { m.settle() })},
		{"lose write", 1, false, m.writing(m.loseWrite)},
		{"restart", 1, false, m.restart},
		{"change of leader", 1, false, func(string) { m.changeLeader() }},
		{"extend", 1, false, func(string) { m.extend() }},
		{"pace", 1, false, func(string) { m.setPace() }},
		{"restore", 1, false, func(string) { m.restore(rapid.SampledFrom(modelTargets)) }},
		{"cut", 2, false, func(id string) { m.targets[id].cut = !m.targets[id].cut }},
		{"outage", 1, false, func(string) { m.outage() }},
		{"lose target", 1, false, m.writing(m.loseTarget)},
	}
}

// writing returns an action that writes a table. While a write is not acknowledged, it is repeated, and no other table is written.
func (m *model) writing(run func(id string)) func(id string) {
	return func(id string) {
		if m.pending != nil {
			m.repeatWrite()
			return
		}
		run(id)
	}
}

// wait lets up to most pass.
func (m *model) wait(most time.Duration) {
	m.advance(time.Duration(rapid.IntRange(1, int(most.Milliseconds())).Draw(m.t, "ms")) * time.Millisecond)
}

// lead does what a leader does all the time: it settles the table and sends the orders that are due.
func (m *model) lead() {
	if m.pending == nil {
		m.settle()
	}
	for _, id := range modelTargets {
		for n := 0; n < 4 && m.order(id); n++ { // a failed order is due again later
		}
	}
	m.wait(modelTiming.RenewInterval)
}

// outage makes the store unavailable for a short time, while the leader goes on.
func (m *model) outage() {
	m.extend()
	m.lead()
	m.lead()
	m.extend()
}

// loseTarget cuts a target off, gives its keys away after a while, and lets the leader grant them.
func (m *model) loseTarget(id string) {
	t := m.targets[id]
	t.cut = true
	m.wait(2 * modelGrantTTL)
	next := rapid.SampledFrom(modelTargets).Draw(m.t, "next owner")
	for _, s := range m.table.Segments() {
		if s.Owner.Incarnation.ID == id && s.From < modelKeys {
			m.table = m.table.WithOwner(s.From, min(s.To, modelKeys-1), m.targets[next].incarnation)
		}
	}
	m.commit()
	m.lead()
	t.cut = rapid.Bool().Draw(m.t, "stays cut off")
}

// restart makes the process of a target end and start again; the leader may read its entry later.
func (m *model) restart(id string) {
	incarnation := fulmarrange.Incarnation{ID: id, Born: m.targets[id].incarnation.Born + 1}
	m.targets[id] = &modelTarget{incarnation: incarnation, fresh: true}
	if rapid.Bool().Draw(m.t, "read") {
		m.observe()
	}
}

// changeLeader makes another daemon lead after the lease of the leader has ended.
func (m *model) changeLeader() {
	var latest time.Time
	if rapid.Bool().Draw(m.t, "told") {
		latest = m.scheduler.LatestExpiry(m.now)
	}
	m.advance(modelLeaseTTL)
	if m.pending != nil && rapid.Bool().Draw(m.t, "effective") {
		m.write(*m.pending) // the unacknowledged write took effect while its leader still led
	}
	m.pending, m.memory = nil, nil // another daemon has none
	if m.elect() == fulmarrecovery.Stored && !latest.IsZero() {
		m.scheduler.LimitInherited(latest)
	}
	m.settle()
}
