package fulmarorder_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrecovery"
)

const (
	modelLeaseTTL = 1200 * time.Millisecond
	modelCopyAge  = 10 * time.Second // of the oldest copy to which the store is restored
	modelService  = "service"
)

// storedTable is the content of the store: a table and the term that wrote it, zero for none.
type storedTable struct {
	at     time.Time
	table  fulmarrange.Table
	writer fulmarera.Revision
}

// restorable is the store of a model, which can be restored from a copy, and what its leader knows of that.
type restorable struct {
	history   []storedTable // the last one is the present content
	eras      *fulmarera.Tracker
	elections int64
	term      fulmarera.Revision
	writers   []fulmarera.Revision
	memory    *fulmarrecovery.Memory
	heldUntil time.Time
}

// silentObserver is told of restores and does nothing.
type silentObserver struct{}

func (silentObserver) EraRejected(string)                    {}
func (silentObserver) EraBegan(fulmarera.Era, fulmarera.Era) {}

func newRestorable(now time.Time, table fulmarrange.Table) restorable {
	r := restorable{history: []storedTable{{at: now, table: table}}}
	r.beginEra(now, 1)
	return r
}

// beginEra makes the daemons learn of an era.
func (r *restorable) beginEra(now time.Time, e fulmarera.Era) {
	if r.eras == nil {
		r.eras = fulmarera.New(silentObserver{}, func() time.Time { return now })
		_ = r.eras.Adopt(e)
		return
	}
	former := r.eras.Current().Era
	r.eras = fulmarera.New(silentObserver{}, func() time.Time { return now })
	_ = r.eras.Adopt(former)
	_ = r.eras.Adopt(e)
}

func (r *restorable) stored() storedTable { return r.history[len(r.history)-1] }

// write stores a table.
func (m *model) write(table fulmarrange.Table) {
	m.history = append(m.history, storedTable{m.now, table, m.term})
}

// elect makes a daemon the leader, which knows the store and its memory.
func (m *model) elect() fulmarrecovery.Basis {
	stored, era := m.stored(), m.eras.Current()
	m.elections++
	m.term, _ = fulmarera.NewRevision(era.Era, m.elections)
	start := fulmarrecovery.Start{Era: era, Writer: stored.writer, Memory: m.memory, LeaseTTL: modelLeaseTTL, MaxHold: modelTiming.MaxHoldTime()}
	basis, heldUntil := start.Choose(m.now)
	m.table, m.heldUntil, m.extended = stored.table, heldUntil, false
	m.writers = []fulmarera.Revision{m.term, stored.writer}
	if basis == fulmarrecovery.Remembered {
		m.table = m.memory.Tables[modelService]
		m.writers = append(m.writers, m.memory.Writers...)
	}
	m.table = m.table.WithUsedFences(era.Era.FirstFence())
	m.scheduler = fulmarorder.New(m.now, m.table, modelTiming)
	m.scheduler.Hold(heldUntil)
	if basis == fulmarrecovery.Remembered {
		m.scheduler.LimitInherited(m.memory.Lapse)
	}
	for _, target := range m.targets {
		target.grants = nil // those of another daemon, or of an earlier term
	}
	m.observe()
	if basis != fulmarrecovery.Held {
		m.write(m.table) // tables are written before the first order of an era
	}
	return basis
}

// restore replaces the stored table by an older one. The leader hears of it at once, is cut off from the store or frozen and goes on
// until its lease has ended, or is lost.
func (m *model) restore(ids *rapid.Generator[string]) {
	former := m.scheduler
	m.restoreCopy()
	m.memory = nil
	switch rapid.SampledFrom([]string{"alive", "cut off", "lost"}).Draw(m.t, "former leader") {
	case "alive":
		if !m.now.Before(m.heldUntil) {
			m.memory = &fulmarrecovery.Memory{
				Era: m.eras.Current().Era, Tables: map[string]fulmarrange.Table{modelService: former.Table()}, Lapse: former.LatestExpiry(m.now), Writers: m.writers,
			}
		}
		m.advance(time.Duration(rapid.IntRange(0, 500).Draw(m.t, "until election")) * time.Millisecond)
		if rapid.IntRange(0, 3).Draw(m.t, "again") == 0 {
			m.leadBetween(ids)
			m.restoreCopy()
		}
		m.elect()
	case "cut off":
		held := m.heldUntil
		m.elect()
		next, nextHeld := m.scheduler, m.heldUntil
		m.scheduler, m.heldUntil = former, held
		if rapid.Bool().Draw(m.t, "extend") { // as a leader does that the store does not answer
			former.SetGrantTTL(m.now, modelMaxGrantTTL*95/100)
		}
		for end := m.now.Add(modelLeaseTTL); m.now.Before(end); {
			m.order(ids.Draw(m.t, "id"))
			m.advance(time.Duration(rapid.IntRange(1, 300).Draw(m.t, "ms")) * time.Millisecond)
		}
		for _, target := range m.targets {
			target.grants = nil
		}
		m.scheduler, m.heldUntil = next, nextHeld
	case "lost":
		m.elect()
	}
	if m.now.Before(m.heldUntil) && rapid.Bool().Draw(m.t, "held") {
		m.advance(m.heldUntil.Sub(m.now))
	}
	m.settle()
}

// leadBetween makes another daemon lead for a while between two restores, or none.
func (m *model) leadBetween(ids *rapid.Generator[string]) {
	if rapid.Bool().Draw(m.t, "nobody leads") {
		return
	}
	memory := m.memory
	m.memory = nil
	m.elect()
	if m.now.Before(m.heldUntil) {
		m.advance(m.heldUntil.Sub(m.now))
	}
	for range 20 {
		if rapid.IntRange(0, 3).Draw(m.t, "move") == 0 {
			m.move(ids.Draw(m.t, "id"))
		}
		m.settle()
		m.order(ids.Draw(m.t, "id"))
		m.advance(50 * time.Millisecond)
	}
	m.advance(modelLeaseTTL) // its lease ends
	m.memory = memory
}

// restoreCopy restores the store. A write that was under way may arrive afterwards, before a leader is elected.
func (m *model) restoreCopy() {
	at := m.now.Add(-time.Duration(rapid.IntRange(0, int(modelCopyAge.Milliseconds())).Draw(m.t, "age")) * time.Millisecond)
	n := len(m.history)
	for n > 1 && m.history[n-1].at.After(at) {
		n--
	}
	m.history = m.history[:n]
	if m.pending != nil && rapid.Bool().Draw(m.t, "late write") {
		m.write(*m.pending)
	}
	m.pending = nil
	m.beginEra(m.now, m.eras.Current().Era+1)
}
