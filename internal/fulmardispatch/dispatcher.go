package fulmardispatch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	sweep  = 10 * time.Second // period of dropping old request ids
	linger = time.Minute      // how long the memory of a slot is kept for export after it left the grant
	// renewalsAfterBreak is how many renewals show that a target lives whose suspect broke
	// off. One may have been answered before the target crashed.
	renewalsAfterBreak = 2
	suspicion          = 5 * time.Second // how long a broken order counts as in flight when the target is lost
	orderGrace         = 5 * time.Second // time after its deadline when an at-most-once order is given up
)

// errLost is the cause of ending the orders of a lost target.
var errLost = errors.New("fulmardispatch: target lost")

// slot is what a dispatcher knows of a slot; the zero value is a slot that was never granted.
type slot struct {
	granted  bool
	stopped  bool
	imported bool      // the memory was handed over since the slot last left the grant
	open     bool      // the memory is open
	busy     bool      // left the grant with work in flight, which has not ended since
	left     time.Time // when the slot left the grant
	hash     uint64    // of the hot key
	parent   int
	hot      bool
	flight   int // handlers and orders
}

// drain waits until no work is in flight.
type drain struct {
	slots []int // nil for all
	done  chan struct{}
}

// broken is work whose connection broke, which precedes the loss of a target that crashed.
type broken struct {
	fingerprint uint64
	at          time.Time
}

// Dispatcher runs the requests of one target; it is safe for concurrent use.
type Dispatcher struct {
	target fulmarslot.Target
	deps   Deps
	memory *fulmardedup.Memory
	wake   chan struct{}
	quit   chan struct{}
	done   chan struct{}

	mu          sync.Mutex
	queue       *fulmarqueue.Queue[*job]
	limits      map[string]fulmarqueue.Limits
	slots       map[int]*slot
	hot         map[uint64]int // slot of each hot key
	held        map[*job]int   // handlers and orders of each job in flight
	waiting     map[*job]struct{}
	running     map[*job]struct{}
	jobs        map[*fulmardedup.Entry]*job
	drains      []drain
	broken      []broken
	loads       loads
	term        uint64
	epoch       uint64
	flight      int
	renewalsDue int // renewals that must succeed before work starts again
	opened      bool
	complete    map[int]time.Time // by slot: no order of another dispatcher started later
	suspended   bool
	stopped     bool
	closed      bool
}

// New returns a dispatcher that admits nothing before Open; Close ends its goroutine.
func New(target fulmarslot.Target, deps Deps) *Dispatcher {
	d := &Dispatcher{
		target:  target,
		deps:    deps,
		memory:  fulmardedup.New(deps.Dedup),
		wake:    make(chan struct{}, 1),
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
		queue:   fulmarqueue.New[*job](deps.Discipline, 1),
		limits:  make(map[string]fulmarqueue.Limits),
		slots:   make(map[int]*slot),
		hot:     make(map[uint64]int),
		held:    make(map[*job]int),
		waiting: make(map[*job]struct{}),
		running: make(map[*job]struct{}),
		jobs:    make(map[*fulmardedup.Entry]*job),
	}
	go d.schedule()
	return d
}

// Open records that a grant of the term came into force; free is the number of concurrent requests of the target.
// The memory of slots that was not imported starts anew, also if another term may have lain in between.
func (d *Dispatcher) Open(term uint64, free int, slots []int) {
	table := d.deps.Table()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.opened && term > d.term+1 {
		for n, s := range d.slots {
			if !s.imported {
				d.forget(n, s)
			}
		}
	}
	d.term, d.opened, d.suspended, d.stopped, d.renewalsDue = term, true, false, false, 0
	d.queue.SetSlots(free)
	d.apply(table, slots)
	d.complete = nil
	d.signal()
}

// SetComplete states that no order of another dispatcher for the slots started
// after at. Memory of them that the next Open starts anew counts from then,
// instead of from Open.
func (d *Dispatcher) SetComplete(at time.Time, slots []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = make(map[int]time.Time, len(slots))
	for _, n := range slots {
		d.complete[n] = at
	}
}

// Running returns the number of orders in flight.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Running()
}

// Waiting returns the number of requests that wait for their turn.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}

// SetSlots changes the number of concurrent requests of the target.
func (d *Dispatcher) SetSlots(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetSlots(n)
	d.signal()
}

// Grant records that a renewal with the slots came into force; it ends a suspension.
func (d *Dispatcher) Grant(epoch uint64, slots []int) {
	table := d.deps.Table()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch, d.suspended, d.renewalsDue = max(d.epoch, epoch), false, max(d.renewalsDue-1, 0)
	d.apply(table, slots)
	d.signal()
}

// Stop admits no more work for the slots and refuses what waits; the channel is closed when none is in flight.
func (d *Dispatcher) Stop(slots []int) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range slots {
		d.slot(n).stopped = true
	}
	d.refuseWaiting(fulmaroutcome.Moving, func(j *job) bool { return d.slot(j.slot).stopped })
	return d.drain(append([]int{}, slots...))
}

// StopAll admits no more work and refuses what waits; the channel is closed when none is in flight.
func (d *Dispatcher) StopAll() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.refuseWaiting(fulmaroutcome.Moving, func(*job) bool { return true })
	return d.drain(nil)
}

// Resume admits work for the slots again; Resume(nil) ends StopAll and all stops.
// The channels of the stops that it ends are never closed.
func (d *Dispatcher) Resume(slots []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slots == nil {
		d.stopped = false
		for _, s := range d.slots {
			s.stopped = false
		}
		d.drains = nil
		return
	}
	for _, n := range slots {
		d.slot(n).stopped = false
	}
	kept := d.drains[:0]
	for _, w := range d.drains {
		if w.slots == nil || !overlap(w.slots, slots) {
			kept = append(kept, w)
		}
	}
	d.drains = kept
}

// Suspend starts no more work; waiting requests stay until their deadline, Close, or a renewal.
func (d *Dispatcher) Suspend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended = true
}

// Lost ends the work in flight as unknown and returns its fingerprints, with those of orders
// whose connection broke shortly before.
func (d *Dispatcher) Lost() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended = true
	seen := make(map[uint64]bool)
	var dst []uint64
	add := func(f uint64) {
		if !seen[f] {
			seen[f] = true
			dst = append(dst, f)
		}
	}
	for j := range d.running {
		add(j.fingerprint)
		j.cancel(errLost)
	}
	d.trimBroken(suspicion)
	for _, b := range d.broken {
		add(b.fingerprint)
	}
	d.broken = nil
	return dst
}

// Close refuses what waits with the reason and admits nothing more; work in flight is left to finish.
func (d *Dispatcher) Close(reason fulmaroutcome.Reason) {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	d.refuseWaiting(reason, func(*job) bool { return true })
	close(d.quit)
	d.mu.Unlock()
	<-d.done
}

// Export returns the request memory of the slots, for their next dispatcher.
func (d *Dispatcher) Export(slots []int) fulmardedup.Snapshot { return d.memory.Export(slots) }

// Import takes over the request memory of slots from their previous dispatcher; Open or Grant with these
// slots must follow at once. Memory of a move that was cancelled must not be imported.
func (d *Dispatcher) Import(s fulmardedup.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Now()
	for n := range s.Horizons {
		known := d.slot(n)
		if !known.granted {
			d.forget(n, known) // what is left from an earlier grant is incomplete
		}
		known.imported, known.open, known.left = true, true, now
	}
	d.memory.Import(s)
}

// Loads returns the server time that each slot and the hottest keys used since the last call.
func (d *Dispatcher) Loads() []fulmarplan.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loads.take(d.target.Service)
}

// slot returns the record of a slot, with the lock held.
func (d *Dispatcher) slot(n int) *slot {
	s, ok := d.slots[n]
	if !ok {
		s = &slot{}
		d.slots[n] = s
	}
	return s
}

// apply makes slots the granted ones, with the lock held.
func (d *Dispatcher) apply(table fulmarslot.Table, slots []int) {
	now := d.deps.Now()
	granted := make(map[int]bool, len(slots))
	var hot []int
	for _, n := range slots {
		granted[n] = true
		if parent, hash, ok := table.ParentSlot(d.target.Service, n); ok {
			s := d.slot(n)
			if s.hot && (s.parent != parent || s.hash != hash) {
				d.mergeHotSlot(now, table, n, s) // the slot number serves another key now
				s.granted = false
			}
			s.hot, s.parent, s.hash = true, parent, hash
			d.hot[hash] = n
			hot = append(hot, n)
			continue
		}
		d.enter(now, table, n)
	}
	for _, n := range hot {
		d.enter(now, table, n)
	}
	for n, s := range d.slots {
		if s.hot && !granted[n] {
			d.mergeHotSlot(now, table, n, s)
		}
		if s.granted && !granted[n] {
			s.busy = s.stopped && s.flight > 0
			s.granted, s.stopped, s.imported, s.left = false, false, false, now
		}
		if s.busy && !d.owns(table, n) {
			s.busy = false
		}
	}
	d.refuseWaiting(fulmaroutcome.Moving, func(j *job) bool { return !d.slot(j.slot).granted })
	d.trimBroken(time.Second)
}

// enter opens the memory of a slot that came into the grant, with the lock held.
func (d *Dispatcher) enter(now time.Time, table fulmarslot.Table, n int) {
	s := d.slot(n)
	if s.granted && s.open {
		return
	}
	// A slot whose work never ended was not released: its move was cancelled, and nothing ran elsewhere.
	// Since tells a move to another target and back that the dispatcher did not see.
	kept := s.imported || s.busy && d.owns(table, n) && table.Assignment(d.target.Service, n).MoveEpoch == 0
	s.granted, s.stopped, s.busy = true, false, false
	if s.open && kept {
		return
	}
	d.forget(n, s) // ids may have run elsewhere while the slot was away
	s.open = true
	if s.hot {
		if p := d.slot(s.parent); p.granted && p.open {
			d.memory.Split(s.parent, n, s.hash)
			d.moveInFlight(s.parent, n, s.hash)
			return
		}
	}
	if at, ok := d.complete[n]; ok && at.Before(now) {
		now = at
	}
	d.memory.Open(now, n)
}

// owns reports whether the target owns a slot, even if the slot is moving away.
func (d *Dispatcher) owns(table fulmarslot.Table, n int) bool {
	return n < table.Slots(d.target.Service) && table.Assignment(d.target.Service, n).Owner == d.target.ID
}

// mergeHotSlot handles a hot key that returned to its plain slot; with the lock held.
func (d *Dispatcher) mergeHotSlot(now time.Time, table fulmarslot.Table, n int, s *slot) {
	if _, hash, ok := table.ParentSlot(d.target.Service, n); ok && hash == s.hash {
		return // moved to another target
	}
	if p := d.slot(s.parent); p.granted && p.open {
		if s.granted && s.open {
			d.memory.Join(s.parent, n)
			d.moveInFlight(n, s.parent, s.hash)
		} else {
			// The key's requests ran elsewhere, and their ids were not handed over.
			d.memory.Close(s.parent)
			d.memory.Open(now, s.parent)
		}
	}
	d.forget(n, s)
	delete(d.hot, s.hash)
	s.hot = false
}

// moveInFlight counts the work in flight of a key under another slot, with the lock held.
func (d *Dispatcher) moveInFlight(from, to int, hash uint64) {
	for j, count := range d.held {
		if j.slot == from && j.hash == hash {
			d.slot(from).flight -= count
			d.slot(to).flight += count
			j.slot = to
		}
	}
	d.settle()
}

// forget closes the memory of a slot, with the lock held.
func (d *Dispatcher) forget(n int, s *slot) {
	if s.open {
		d.memory.Close(n)
	}
	s.open, s.imported = false, false
}

// drain returns a channel that is closed when the slots, or all if nil, have no work in flight; with the lock held.
func (d *Dispatcher) drain(slots []int) <-chan struct{} {
	w := drain{slots: slots, done: make(chan struct{})}
	d.drains = append(d.drains, w)
	d.settle()
	return w.done
}

// settle closes the channels of the drains that are complete, with the lock held.
func (d *Dispatcher) settle() {
	kept := d.drains[:0]
	for _, w := range d.drains {
		if d.idle(w.slots) {
			close(w.done)
			continue
		}
		kept = append(kept, w)
	}
	d.drains = kept
}

func (d *Dispatcher) idle(slots []int) bool {
	if slots == nil {
		return d.flight == 0
	}
	for _, n := range slots {
		if d.slot(n).flight > 0 {
			return false
		}
	}
	return true
}

// hold counts a handler or an order of a job as in flight, with the lock held.
func (d *Dispatcher) hold(j *job) {
	d.flight++
	d.held[j]++
	d.slot(j.slot).flight++
}

// release ends a hold, with the lock held.
func (d *Dispatcher) release(j *job) {
	d.flight--
	if d.held[j]--; d.held[j] == 0 {
		delete(d.held, j)
	}
	s := d.slot(j.slot)
	if s.flight--; s.flight == 0 {
		s.busy = false
	}
	if len(d.drains) > 0 {
		d.settle()
	}
}

// refuseWaiting takes the waiting jobs that match out of the queue as not run, with the lock held.
func (d *Dispatcher) refuseWaiting(reason fulmaroutcome.Reason, match func(*job) bool) {
	for j := range d.waiting {
		if match(j) {
			d.refuse(j, reason)
		}
	}
}

// refuse takes a job out of the queue as not run, unless it no longer waits; with the lock held.
func (d *Dispatcher) refuse(j *job, reason fulmaroutcome.Reason) {
	if j.state == waiting && d.queue.Remove(j.ticket) {
		d.reject(j, reason)
	}
}

// reject ends a job that is not in the queue as not run, with the lock held.
func (d *Dispatcher) reject(j *job, reason fulmaroutcome.Reason) {
	delete(d.waiting, j)
	j.state, j.reason = refused, reason
	if j.entry != nil {
		delete(d.jobs, j.entry)
		d.memory.Abandon(j.entry, fulmardedup.Answer{Outcome: string(fulmaroutcome.NotRun), Reason: string(reason)})
	}
	j.cancel(nil)
	close(j.ready)
}

// trimBroken drops broken work older than age, with the lock held.
func (d *Dispatcher) trimBroken(age time.Duration) {
	oldest := d.deps.Now().Add(-age)
	kept := d.broken[:0]
	for _, b := range d.broken {
		if b.at.After(oldest) {
			kept = append(kept, b)
		}
	}
	d.broken = kept
}

// signal wakes the scheduler.
func (d *Dispatcher) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func overlap(a, b []int) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}
