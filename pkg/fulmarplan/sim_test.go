package fulmarplan_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarlease"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"
)

const tick = 50 * time.Millisecond

// shortWaitPolicy shortens the waits that do not affect safety, so that moves start and end often.
var quick = func() fulmarplan.Policy {
	p := policy
	p.MoveTimeout, p.RebalanceInterval, p.DownTimeout, p.OrderTimeout = 500*time.Millisecond, 400*time.Millisecond, time.Second, 300*time.Millisecond
	return p
}()

// grant lists the slots for which a target accepts orders until expiry. A target without fencing has a grant for each
// order sent to it.
type grant struct {
	sender string
	term   uint64
	epoch  uint64
	table  fulmarslot.Table
	slots  []int
	expiry time.Time
}

// daemon models a daemon that follows the protocol with random timing.
type daemon struct {
	id          string
	incarnation uint64
	partition   int // side of a network partition; the planners and the key-value service are on side 0
	paused      bool
	started     time.Time
	table       fulmarslot.Table
	lease       *fulmarlease.Lease
	grantExpiry map[string]time.Time
}

// fleetModel models a cluster under faults.
type fleetModel struct {
	t         *rapid.T
	now       time.Time
	table     fulmarslot.Table // in the key-value service
	daemons   []*daemon
	planners  []*fulmarplan.Planner
	delayed   []func() // delayed messages: compare-and-swaps of paused planners, grants and acknowledgements
	grants    map[string][]grant
	targets   []fulmarslot.Target
	lost      map[string]bool // targets reported as lost
	acks      map[string]fulmarplan.Ack
	lastHeard map[string]time.Time
	releases  []fulmarplan.Release
	confirm   []string
	drain     []string
	terms     uint64
	faults    bool
}

func newFleetModel(t *rapid.T, daemons int) *fleetModel {
	w := &fleetModel{t: t, now: time.Unix(1000, 0), grants: map[string][]grant{}, lost: map[string]bool{}, acks: map[string]fulmarplan.Ack{}, lastHeard: map[string]time.Time{}, faults: true}
	w.table = fulmarslot.New(nil)
	for i := range 4 {
		w.targets = append(w.targets, fulmarslot.Target{ID: fmt.Sprint("t", i), Service: "rota", Fenced: i != 3})
	}
	for i := range daemons {
		d := &daemon{id: fmt.Sprint("d", i)}
		w.daemons = append(w.daemons, d)
		w.restart(d)
	}
	for i := range 2 {
		w.planners = append(w.planners, fulmarplan.New(quick, uint64(i)))
	}
	return w
}

// restart starts a new incarnation without state. It gets its table from the store or from a random peer.
func (w *fleetModel) restart(d *daemon) {
	*d = daemon{id: d.id, incarnation: d.incarnation + 1, partition: d.partition, started: w.now, lease: fulmarlease.New(d.id, quick.LeaseWindow), grantExpiry: map[string]time.Time{}}
	d.table = w.table
	if p := w.drawDaemon("pull"); p.incarnation > 0 && p != d && w.faults {
		d.table = p.table
	}
}

func (w *fleetModel) drawDaemon(label string) *daemon {
	return w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(w.t, label)]
}

func (w *fleetModel) drawBool(label string) bool { return rapid.Bool().Draw(w.t, label) }

func (d *daemon) canHear(p *daemon) bool { return p != d && !p.paused && p.partition == d.partition }

// listed reports whether this incarnation is in the roster of t.
func listed(t fulmarslot.Table, d *daemon) bool {
	return slices.ContainsFunc(t.Roster(), func(m fulmarslot.Member) bool { return m.ID == d.id && m.Incarnation == d.incarnation })
}

// exchangeHeartbeats exchanges heartbeats with all reachable peers and pulls newer tables.
func (w *fleetModel) exchangeHeartbeats(d *daemon, sent time.Time) {
	for _, p := range w.daemons {
		if d.canHear(p) && p.table.Epoch() > d.table.Epoch() {
			d.table = p.table
		}
	}
	w.setRoster(d)
	for _, p := range w.daemons {
		if d.canHear(p) && p.table.Epoch() <= d.table.Epoch() && listed(d.table, p) {
			d.lease.Confirm(p.id, sent)
		}
	}
}

func (w *fleetModel) setRoster(d *daemon) {
	var ids []string
	for _, m := range d.table.Roster() {
		if m.ID != d.id || m.Incarnation == d.incarnation {
			ids = append(ids, m.ID)
		}
	}
	d.lease.SetRoster(ids)
}

// readStore reads the table from the key-value service.
func (w *fleetModel) readStore(d *daemon) {
	d.table = w.table
	w.setRoster(d)
	d.lease.ConfirmStore(w.now)
}

// sendGrant makes d send a grant, or an order to a target without fencing, that excludes the moving slots.
func (w *fleetModel) sendGrant(d *daemon, target fulmarslot.Target, late bool) {
	t, ok := d.table.Target(target.ID)
	if d.paused || !ok || !d.lease.Held(w.now) || !t.Fenced && t.Dispatcher != d.id {
		return
	}
	life := quick.GrantTTL
	if !t.Fenced {
		life = quick.OrderTimeout
	}
	w.terms++
	g := grant{d.id, w.terms, d.table.Epoch(), d.table, d.table.OwnedBy(nil, t.ID), w.now.Add(life)}
	if !t.Fenced {
		g.sender = fmt.Sprint(d.id, d.incarnation)
	}
	if old := d.grantExpiry[t.ID]; g.expiry.After(old) {
		d.grantExpiry[t.ID] = g.expiry
	}
	if late {
		w.delayed = append(w.delayed, func() { w.acceptGrant(t, g) })
		return
	}
	w.acceptGrant(t, g)
}

// acceptGrant delivers a grant. A target with fencing rejects grants with an old term or epoch.
func (w *fleetModel) acceptGrant(t fulmarslot.Target, g grant) {
	if !t.Fenced {
		w.grants[t.ID] = append(w.grants[t.ID], g)
		return
	}
	if old := w.grants[t.ID]; len(old) == 0 || g.term > old[0].term && g.epoch >= old[0].epoch {
		w.grants[t.ID] = []grant{g}
	}
}

// reportRelease reports the moving slots of a target as released once the target has a grant without them.
func (w *fleetModel) reportRelease(d *daemon, t fulmarslot.Target) {
	slots := d.table.MovingFrom(nil, t.ID)
	if len(slots) == 0 || !d.lease.Held(w.now) {
		return
	}
	if t.Fenced {
		w.sendGrant(d, t, false)
		if g := w.grants[t.ID]; len(g) == 0 || g[0].sender != d.id || g[0].term != w.terms || g[0].epoch != d.table.Epoch() {
			return
		}
	} else if x, _ := d.table.Target(t.ID); x.Dispatcher != d.id || w.now.Before(d.grantExpiry[t.ID]) {
		return
	}
	w.releases = append(w.releases, fulmarplan.Release{Target: t.ID, Service: "rota", Slots: slots, Epoch: d.table.Epoch()})
}

// acknowledge delivers the acknowledgement of d to the planners, at once or delayed.
func (w *fleetModel) acknowledge(d *daemon, late bool) {
	ack := fulmarplan.Ack{Epoch: d.table.Epoch(), Incarnation: d.incarnation, GrantExpiry: map[string]time.Time{}}
	for id, t := range d.grantExpiry {
		ack.GrantExpiry[id] = t
	}
	deliver := func() {
		if old := w.acks[d.id]; ack.Incarnation > old.Incarnation || ack.Incarnation == old.Incarnation && ack.Epoch >= old.Epoch {
			w.acks[d.id] = ack
		}
		w.lastHeard[d.id] = w.now
	}
	if late {
		w.delayed = append(w.delayed, deliver)
		return
	}
	deliver()
}

// drawLoads returns random load reports that cause slot moves and hot keys.
func (w *fleetModel) drawLoads() []fulmarplan.Load {
	slot := rapid.IntRange(0, 7).Draw(w.t, "loaded")
	return []fulmarplan.Load{
		{Service: "rota", Slot: slot, Used: time.Second},
		{Service: "rota", Slot: slot, Hash: uint64(slot + 8), Used: 300 * time.Millisecond},
	}
}

// stepPlanner makes a planner step. If late is set, its compare-and-swap is delayed, as for a paused planner.
func (w *fleetModel) stepPlanner(p *fulmarplan.Planner, late bool) {
	in := fulmarplan.Input{Table: w.table, Services: map[string]int{"rota": 8}, Acks: w.acks, Releases: slices.Clone(w.releases), DrainTargets: w.drain, ConfirmedLost: w.confirm}
	for _, d := range w.daemons {
		if w.now.Sub(w.lastHeard[d.id]) < 500*time.Millisecond {
			in.Members = append(in.Members, fulmarslot.Member{ID: d.id, Incarnation: w.acks[d.id].Incarnation})
		}
	}
	for _, t := range w.targets {
		in.Targets = append(in.Targets, t) // the platform's list is outdated and still contains lost targets
		if w.lost[t.ID] {
			in.Losses = append(in.Losses, fulmarplan.Loss{Target: t.ID, Suspects: []uint64{uint64(len(t.ID))}})
		}
	}
	if w.faults {
		in.Loads = w.drawLoads()
	}
	out := p.Step(w.now, in)
	if len(out.Changes) == 0 {
		return
	}
	next, err := in.Table.With(out.Changes...)
	if err != nil {
		w.t.Fatalf("%v: %v", out.Reasons, err)
	}
	swap := func() {
		if w.table.Epoch() == in.Table.Epoch() {
			w.table = next
		}
	}
	if late {
		w.delayed = append(w.delayed, swap)
		return
	}
	swap()
}

// checkSingleOwner fails the test if a key may run at two targets, or if two daemons can send orders to a target without
// fencing.
func (w *fleetModel) checkSingleOwner() {
	owner := map[uint64]string{}
	for _, t := range w.targets {
		sender := ""
		for _, g := range w.grants[t.ID] {
			if !g.expiry.After(w.now) {
				continue
			}
			if sender != "" && sender != g.sender {
				w.t.Fatalf("%s takes orders of %s and %s", t.ID, sender, g.sender)
			}
			sender = g.sender
			for key := range uint64(16) {
				slot, hot := g.table.HotKeySlot("rota", key)
				if !hot {
					slot = int(key % 8)
				}
				if !slices.Contains(g.slots, slot) {
					continue
				}
				if o, ok := owner[key]; ok && o != t.ID {
					w.t.Fatalf("key %d is in force at %s and %s (epochs %d and now %d)", key, o, t.ID, g.epoch, w.table.Epoch())
				}
				owner[key] = t.ID
			}
		}
	}
}

// injectFault performs one random fault or action.
func (w *fleetModel) injectFault() {
	if len(w.releases) > 40 {
		w.releases = w.releases[20:]
	}
	d, target := w.drawDaemon("daemon"), rapid.SampledFrom(w.targets).Draw(w.t, "target")
	switch rapid.IntRange(0, 16).Draw(w.t, "action") {
	case 0:
		d.partition = rapid.IntRange(0, 2).Draw(w.t, "side")
	case 1:
		d.paused = !d.paused
	case 2:
		w.restart(d)
	case 3, 4:
		w.lost[target.ID] = !w.lost[target.ID]
	case 5:
		w.stepPlanner(w.planners[rapid.IntRange(0, 1).Draw(w.t, "planner")], true)
	case 6, 7, 8:
		w.stepPlanner(w.planners[rapid.IntRange(0, 1).Draw(w.t, "planner")], false)
	case 9:
		w.sendGrant(d, target, w.drawBool("late"))
	case 10:
		w.reportRelease(d, target)
	case 11:
		if len(w.delayed) > 0 {
			i := rapid.IntRange(0, len(w.delayed)-1).Draw(w.t, "message")
			w.delayed[i]()
			w.delayed = slices.Delete(w.delayed, i, i+1)
		}
	case 12:
		if !d.paused && d.partition == 0 {
			w.acknowledge(d, w.drawBool("late"))
		}
	case 13:
		if !d.paused {
			w.readStore(d)
		}
	case 14:
		w.drain = nil
		if w.drawBool("drains") {
			w.drain = []string{target.ID}
		}
	default:
		w.runTicks(rapid.IntRange(1, 8).Draw(w.t, "ticks"))
	}
	w.checkSingleOwner()
}

// runTicks lets all running daemons act for some ticks, with planner 0 as the leader.
func (w *fleetModel) runTicks(ticks int) {
	for range ticks {
		for _, d := range w.daemons {
			if d.paused {
				continue
			}
			w.exchangeHeartbeats(d, w.now)
			if d.partition == 0 && (!w.faults || w.drawBool("reads")) {
				w.readStore(d)
			}
			if d.partition == 0 {
				w.acknowledge(d, false)
			}
		}
		w.checkSingleOwner()
		for _, t := range w.targets {
			d := w.daemons[w.terms%uint64(len(w.daemons))]
			if x, _ := d.table.Target(t.ID); !t.Fenced {
				if i := slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.id == x.Dispatcher }); i >= 0 {
					d = w.daemons[i]
				}
			}
			if !d.paused && !w.lost[t.ID] {
				w.reportRelease(d, t)
				if t.Fenced || len(d.table.MovingFrom(nil, t.ID)) == 0 {
					w.sendGrant(d, t, false)
				}
			}
			w.terms++
			w.checkSingleOwner()
		}
		w.stepPlanner(w.planners[0], false)
		w.now = w.now.Add(tick)
		w.checkSingleOwner()
	}
}

// endFaults ends all faults.
func (w *fleetModel) endFaults() {
	w.faults = false
	clear(w.lost)
	w.drain, w.delayed = nil, nil
	for _, d := range w.daemons {
		d.partition, d.paused = 0, false
	}
}

func (w *fleetModel) expectFinished() {
	for slot, a := range w.table.MovingSlots("rota") {
		w.t.Fatalf("slot %d still moves: %v", slot, a)
	}
	for slot := range w.table.UnownedSlots("rota") {
		w.t.Fatalf("slot %d has no owner", slot)
	}
	if x, ok := w.table.Target("t3"); !ok || x.Dispatcher == "" {
		w.t.Fatalf("t3 has no dispatcher")
	}
	for _, d := range w.daemons {
		if !listed(w.table, d) {
			w.t.Fatalf("%s is not in the roster", d.id)
		}
	}
}

var _ = Describe("Planner under faults", func() {
	// Guards against two targets owning the same key at once (I1), and against moves that do not end after faults.
	It("keeps one owner for each slot and finishes once faults end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newFleetModel(t, rapid.IntRange(1, 5).Draw(t, "daemons"))
			w.runTicks(rapid.IntRange(0, 40).Draw(t, "start"))
			for range rapid.IntRange(0, 150).Draw(t, "faults") {
				w.injectFault()
			}
			w.endFaults()
			w.runTicks(400)
			w.expectFinished()
		})
	})
})
