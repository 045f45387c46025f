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
	sweepPeriod     = 10 * time.Second // interval between removals of expired request ids
	exportRetention = time.Minute      // how long the deduplication records of a slot are kept for export after it left the grant
	// renewalsAfterSuspectBreak is the number of grant renewals that show that a
	// target is alive after the connection of a suspect request broke. A single
	// renewal may have been answered before the target crashed.
	renewalsAfterSuspectBreak = 2
	brokenExecutionWindow     = 5 * time.Second // how long a request whose connection broke counts as in flight when the target is lost
	responseGrace             = 5 * time.Second // time past its deadline after which an at-most-once request is abandoned
)

// errTargetLost is the cancellation cause of the requests in flight to a lost target.
var errTargetLost = errors.New("fulmardispatch: target lost")

// slotState is the state of a slot. The zero value is a slot that was never granted.
type slotState struct {
	granted      bool
	stopped      bool
	imported     bool      // the deduplication records were imported since the slot last left the grant
	dedupOpen    bool      // the slot is open in the deduplication memory
	leftInFlight bool      // left the grant with work in flight, which is still in flight
	leftAt       time.Time // when the slot left the grant, or its records were imported
	keyHash      uint64    // of the hot key
	parent       int
	hotKey       bool
	inFlight     int // number of handlers and at-most-once executions
}

// drainWaiter waits until its slots have no work in flight.
type drainWaiter struct {
	slots []int // nil for all slots
	done  chan struct{}
}

// brokenExecution records a request whose connection broke. When a target crashes,
// its connections break before the loss is detected.
type brokenExecution struct {
	fingerprint uint64
	brokenAt    time.Time
}

// Dispatcher runs the requests of one target; it is safe for concurrent use.
type Dispatcher struct {
	target fulmarslot.Target
	deps   Deps
	dedup  *fulmardedup.Memory
	wake   chan struct{}
	quit   chan struct{}
	done   chan struct{}

	mu                 sync.Mutex
	queue              *fulmarqueue.Queue[*job]
	limits             map[string]fulmarqueue.Limits
	slots              map[int]*slotState
	hotSlots           map[uint64]int // slot of each hot key, by key hash
	inFlightByJob      map[*job]int   // handlers and at-most-once executions in flight
	waiting            map[*job]struct{}
	running            map[*job]struct{}
	jobsByEntry        map[*fulmardedup.Entry]*job
	drainWaiters       []drainWaiter
	brokenExecutions   []brokenExecution
	loads              loadCounter
	term               uint64
	epoch              uint64
	inFlight           int
	renewalsDue        int // renewals that must succeed before requests are started again
	opened             bool
	latestForeignStart map[int]time.Time // by slot: no request of another dispatcher started later
	suspended          bool
	stopped            bool
	closed             bool
}

// New returns a dispatcher that admits no requests until Open is called. Close stops its goroutine.
func New(target fulmarslot.Target, deps Deps) *Dispatcher {
	d := &Dispatcher{
		target:        target,
		deps:          deps,
		dedup:         fulmardedup.New(deps.Dedup),
		wake:          make(chan struct{}, 1),
		quit:          make(chan struct{}),
		done:          make(chan struct{}),
		queue:         fulmarqueue.New[*job](deps.Discipline, 1),
		limits:        make(map[string]fulmarqueue.Limits),
		slots:         make(map[int]*slotState),
		hotSlots:      make(map[uint64]int),
		inFlightByJob: make(map[*job]int),
		waiting:       make(map[*job]struct{}),
		running:       make(map[*job]struct{}),
		jobsByEntry:   make(map[*fulmardedup.Entry]*job),
	}
	go d.runScheduler()
	return d
}

// Open records that a grant of the term came into force. The target runs up to
// concurrency requests at a time. Slots whose deduplication records were not
// imported start with empty records, also if the dispatcher held them before and
// another term may have intervened.
func (d *Dispatcher) Open(term uint64, concurrency int, slots []int) {
	table := d.deps.Table()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.opened && term > d.term+1 {
		for n, s := range d.slots {
			if !s.imported {
				d.closeDedup(n, s)
			}
		}
	}
	d.term, d.opened, d.suspended, d.stopped, d.renewalsDue = term, true, false, false, 0
	d.queue.SetSlots(concurrency)
	d.applyGrant(table, slots)
	d.latestForeignStart = nil
	d.wakeScheduler()
}

// SetComplete records that no request that another dispatcher sent for the slots
// started after at. If the next Open starts these slots with empty records, it
// computes their horizon from that time instead of from the current time.
func (d *Dispatcher) SetComplete(at time.Time, slots []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latestForeignStart = make(map[int]time.Time, len(slots))
	for _, n := range slots {
		d.latestForeignStart[n] = at
	}
}

// Running returns the number of requests that are running on the target.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Running()
}

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}

// SetSlots changes the number of requests that run on the target at a time.
func (d *Dispatcher) SetSlots(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetSlots(n)
	d.wakeScheduler()
}

// Grant records that a renewal of the grant with the slots came into force. It ends a suspension.
func (d *Dispatcher) Grant(epoch uint64, slots []int) {
	table := d.deps.Table()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch, d.suspended, d.renewalsDue = max(d.epoch, epoch), false, max(d.renewalsDue-1, 0)
	d.applyGrant(table, slots)
	d.wakeScheduler()
}

// Stop refuses new and queued requests for the slots. The returned channel is
// closed when none is in flight.
func (d *Dispatcher) Stop(slots []int) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range slots {
		d.slot(n).stopped = true
	}
	d.refuseWaiting(fulmaroutcome.Moving, func(j *job) bool { return d.slot(j.slot).stopped })
	return d.addDrainWaiter(append([]int{}, slots...))
}

// StopAll refuses all new and queued requests. The returned channel is closed
// when none is in flight.
func (d *Dispatcher) StopAll() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.refuseWaiting(fulmaroutcome.Moving, func(*job) bool { return true })
	return d.addDrainWaiter(nil)
}

// Resume admits requests for the slots again. Resume(nil) undoes StopAll and
// every Stop. The channels returned by the calls that it undoes are never closed.
func (d *Dispatcher) Resume(slots []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slots == nil {
		d.stopped = false
		for _, s := range d.slots {
			s.stopped = false
		}
		d.drainWaiters = nil
		return
	}
	for _, n := range slots {
		d.slot(n).stopped = false
	}
	kept := d.drainWaiters[:0]
	for _, w := range d.drainWaiters {
		if w.slots == nil || !overlap(w.slots, slots) {
			kept = append(kept, w)
		}
	}
	d.drainWaiters = kept
}

// Suspend stops starting requests. Queued requests stay queued until their
// deadline, Close, or a renewal.
func (d *Dispatcher) Suspend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended = true
}

// Lost suspends the dispatcher, ends the requests in flight with outcome unknown
// and returns their fingerprints, together with those of requests whose
// connection broke shortly before.
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
		j.cancel(errTargetLost)
	}
	d.expireBroken(brokenExecutionWindow)
	for _, b := range d.brokenExecutions {
		add(b.fingerprint)
	}
	d.brokenExecutions = nil
	return dst
}

// Close refuses the queued requests with the reason and admits no more. Requests
// in flight are left to finish.
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

// Export returns the deduplication records of the slots, for their next dispatcher.
func (d *Dispatcher) Export(slots []int) fulmardedup.Snapshot { return d.dedup.Export(slots) }

// Import adds the deduplication records of slots that their previous dispatcher
// exported. Open or Grant with these slots must follow immediately. Records
// exported for a move that was canceled must not be imported.
func (d *Dispatcher) Import(s fulmardedup.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Now()
	for n := range s.Horizons {
		state := d.slot(n)
		if !state.granted {
			d.closeDedup(n, state) // records left from an earlier grant are incomplete
		}
		state.imported, state.dedupOpen, state.leftAt = true, true, now
	}
	d.dedup.Import(s)
}

// Loads returns the server time that each slot and the hottest keys used since the previous call.
func (d *Dispatcher) Loads() []fulmarplan.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loads.flush(d.target.Service)
}

// slot returns the state of a slot and creates it if needed. The lock must be held.
func (d *Dispatcher) slot(n int) *slotState {
	s, ok := d.slots[n]
	if !ok {
		s = &slotState{}
		d.slots[n] = s
	}
	return s
}

// applyGrant replaces the set of granted slots. The lock must be held.
func (d *Dispatcher) applyGrant(table fulmarslot.Table, slots []int) {
	now := d.deps.Now()
	granted := make(map[int]bool, len(slots))
	var hot []int
	for _, n := range slots {
		granted[n] = true
		if parent, hash, ok := table.ParentSlot(d.target.Service, n); ok {
			s := d.slot(n)
			if s.hotKey && (s.parent != parent || s.keyHash != hash) {
				d.mergeHotSlot(now, table, n, s) // the slot number now belongs to another hot key
				s.granted = false
			}
			s.hotKey, s.parent, s.keyHash = true, parent, hash
			d.hotSlots[hash] = n
			hot = append(hot, n)
			continue
		}
		d.grantSlot(now, table, n)
	}
	for _, n := range hot {
		d.grantSlot(now, table, n)
	}
	for n, s := range d.slots {
		if s.hotKey && !granted[n] {
			d.mergeHotSlot(now, table, n, s)
		}
		if s.granted && !granted[n] {
			s.leftInFlight = s.stopped && s.inFlight > 0
			s.granted, s.stopped, s.imported, s.leftAt = false, false, false, now
		}
		if s.leftInFlight && !d.ownsSlot(table, n) {
			s.leftInFlight = false
		}
	}
	d.refuseWaiting(fulmaroutcome.Moving, func(j *job) bool { return !d.slot(j.slot).granted })
	d.expireBroken(time.Second)
}

// grantSlot marks a slot as granted and opens its deduplication records. The lock
// must be held.
func (d *Dispatcher) grantSlot(now time.Time, table fulmarslot.Table, n int) {
	s := d.slot(n)
	if s.granted && s.dedupOpen {
		return
	}
	// A slot that still has work in flight from before it left the grant was never
	// released: its move was canceled, and nothing ran elsewhere. A nonzero MoveEpoch
	// reveals a move to another target and back that this dispatcher did not observe.
	recordsComplete := s.imported || s.leftInFlight && d.ownsSlot(table, n) && table.Assignment(d.target.Service, n).MoveEpoch == 0
	s.granted, s.stopped, s.leftInFlight = true, false, false
	if s.dedupOpen && recordsComplete {
		return
	}
	d.closeDedup(n, s) // requests may have run elsewhere while the slot was not granted
	s.dedupOpen = true
	if s.hotKey {
		if p := d.slot(s.parent); p.granted && p.dedupOpen {
			d.dedup.Split(s.parent, n, s.keyHash)
			d.moveInFlight(s.parent, n, s.keyHash)
			return
		}
	}
	if latest, ok := d.latestForeignStart[n]; ok && latest.Before(now) {
		now = latest
	}
	d.dedup.Open(now, n)
}

// ownsSlot reports whether the target owns a slot, even if the slot is being moved
// to another target.
func (d *Dispatcher) ownsSlot(table fulmarslot.Table, n int) bool {
	return n < table.Slots(d.target.Service) && table.Assignment(d.target.Service, n).Owner == d.target.ID
}

// mergeHotSlot merges the slot of a former hot key back into its parent slot. It does
// nothing if the slot only moved to another target. The lock must be held.
func (d *Dispatcher) mergeHotSlot(now time.Time, table fulmarslot.Table, n int, s *slotState) {
	if _, hash, ok := table.ParentSlot(d.target.Service, n); ok && hash == s.keyHash {
		return // the key is still hot; its slot moved to another target
	}
	if p := d.slot(s.parent); p.granted && p.dedupOpen {
		if s.granted && s.dedupOpen {
			d.dedup.Join(s.parent, n)
			d.moveInFlight(n, s.parent, s.keyHash)
		} else {
			// The requests of the key ran elsewhere, and their records were not imported.
			d.dedup.Close(s.parent)
			d.dedup.Open(now, s.parent)
		}
	}
	d.closeDedup(n, s)
	delete(d.hotSlots, s.keyHash)
	s.hotKey = false
}

// moveInFlight transfers the in-flight counts of a key from one slot to another. The
// lock must be held.
func (d *Dispatcher) moveInFlight(from, to int, hash uint64) {
	for j, count := range d.inFlightByJob {
		if j.slot == from && j.hash == hash {
			d.slot(from).inFlight -= count
			d.slot(to).inFlight += count
			j.slot = to
		}
	}
	d.notifyDrainWaiters()
}

// closeDedup discards the deduplication records of a slot. The lock must be held.
func (d *Dispatcher) closeDedup(n int, s *slotState) {
	if s.dedupOpen {
		d.dedup.Close(n)
	}
	s.dedupOpen, s.imported = false, false
}

// addDrainWaiter returns a channel that is closed when the slots, or all if nil,
// have no work in flight. The lock must be held.
func (d *Dispatcher) addDrainWaiter(slots []int) <-chan struct{} {
	w := drainWaiter{slots: slots, done: make(chan struct{})}
	d.drainWaiters = append(d.drainWaiters, w)
	d.notifyDrainWaiters()
	return w.done
}

// notifyDrainWaiters closes the channels of the waiters whose slots have no work
// in flight, and removes these waiters. The lock must be held.
func (d *Dispatcher) notifyDrainWaiters() {
	kept := d.drainWaiters[:0]
	for _, w := range d.drainWaiters {
		if d.isIdle(w.slots) {
			close(w.done)
			continue
		}
		kept = append(kept, w)
	}
	d.drainWaiters = kept
}

// isIdle reports whether the slots, or all if nil, have no work in flight. The lock
// must be held.
func (d *Dispatcher) isIdle(slots []int) bool {
	if slots == nil {
		return d.inFlight == 0
	}
	for _, n := range slots {
		if d.slot(n).inFlight > 0 {
			return false
		}
	}
	return true
}

// addInFlight counts a handler or an at-most-once execution of a job as in flight.
// The lock must be held.
func (d *Dispatcher) addInFlight(j *job) {
	d.inFlight++
	d.inFlightByJob[j]++
	d.slot(j.slot).inFlight++
}

// removeInFlight undoes one call of addInFlight. The lock must be held.
func (d *Dispatcher) removeInFlight(j *job) {
	d.inFlight--
	if d.inFlightByJob[j]--; d.inFlightByJob[j] == 0 {
		delete(d.inFlightByJob, j)
	}
	s := d.slot(j.slot)
	if s.inFlight--; s.inFlight == 0 {
		s.leftInFlight = false
	}
	if len(d.drainWaiters) > 0 {
		d.notifyDrainWaiters()
	}
}

// refuseWaiting refuses the queued jobs that match as not-run. The lock must be held.
func (d *Dispatcher) refuseWaiting(reason fulmaroutcome.Reason, match func(*job) bool) {
	for j := range d.waiting {
		if match(j) {
			d.refuseQueued(j, reason)
		}
	}
}

// refuseQueued removes a job from the queue and refuses it as not-run, unless it is
// no longer queued. The lock must be held.
func (d *Dispatcher) refuseQueued(j *job, reason fulmaroutcome.Reason) {
	if j.state == stateWaiting && d.queue.Remove(j.ticket) {
		d.refuseDequeued(j, reason)
	}
}

// refuseDequeued refuses a job that is no longer in the queue as not-run. The lock
// must be held.
func (d *Dispatcher) refuseDequeued(j *job, reason fulmaroutcome.Reason) {
	delete(d.waiting, j)
	j.state, j.reason = stateRefused, reason
	if j.entry != nil {
		delete(d.jobsByEntry, j.entry)
		d.dedup.Abandon(j.entry, fulmardedup.Answer{Outcome: string(fulmaroutcome.NotRun), Reason: string(reason)})
	}
	j.cancel(nil)
	close(j.ready)
}

// expireBroken removes the broken executions that are older than age. The lock must
// be held.
func (d *Dispatcher) expireBroken(age time.Duration) {
	oldest := d.deps.Now().Add(-age)
	kept := d.brokenExecutions[:0]
	for _, b := range d.brokenExecutions {
		if b.brokenAt.After(oldest) {
			kept = append(kept, b)
		}
	}
	d.brokenExecutions = kept
}

// wakeScheduler makes the scheduler check the queue.
func (d *Dispatcher) wakeScheduler() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// overlap reports whether a and b have a common element.
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
