package fulmardispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

// ServeHTTP runs one request that was routed to this dispatcher. It panics with
// http.ErrAbortHandler if the response is truncated.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j, detail := d.parseRequest(r)
	if detail != "" {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, fulmaroutcome.Malformed, detail)
		return
	}
	if reason := d.refusalBeforeBody(j); reason != "" {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, reason, "")
		return
	}
	if !d.readBody(w, r, j) {
		return
	}
	d.resolveRouting(j)
	if d.deps.Idempotent(d.target.Service) {
		d.serveIdempotent(w, r, j)
		return
	}
	d.serveAtMostOnce(w, r, j)
}

// refusalBeforeBody returns why a request is refused before its body is read, or ""
// if it is not. The check is repeated under the lock when the request is admitted.
func (d *Dispatcher) refusalBeforeBody(j *job) fulmaroutcome.Reason {
	d.resolveRouting(j)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admissionRefusal(j)
}

// resolveRouting reads the table and the limits. It must be called without the
// lock, because their owner may call the dispatcher while it holds its own lock.
func (d *Dispatcher) resolveRouting(j *job) {
	slot, ok := d.deps.Table().Slot(d.target.Service, j.key)
	j.slotCurrent = ok && slot == j.slot
	limits, ok := d.deps.Limits(d.target.Service, j.group)
	j.groupKnown = ok
	j.limits = fulmarqueue.Limits{Weight: limits.Weight, MaxQueued: limits.MaxQueue}
}

// readBody reads the first part of the body and computes the fingerprint. If it
// fails, it refuses the request and returns false.
func (d *Dispatcher) readBody(w http.ResponseWriter, r *http.Request, j *job) bool {
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(j.deadline) // if unsupported, the calling handler limits the time
	}
	body, err := fulmarbody.Read(r.Body, r.ContentLength)
	if err == nil {
		j.reader, err = body.Open()
	}
	if err != nil {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, fulmaroutcome.Malformed, "body broke off")
		return false
	}
	if r.ContentLength != 0 && body.Complete() {
		_ = control.SetReadDeadline(time.Time{})
	}
	j.body = body
	j.fingerprint = fulmarguard.Fingerprint(d.target.Service, j.method, j.path, j.key, body.Prefix())
	return true
}

// admissionRefusal returns why a job cannot be admitted, or "" if it can. The lock
// must be held.
func (d *Dispatcher) admissionRefusal(j *job) fulmaroutcome.Reason {
	if d.closed || !d.opened {
		return fulmaroutcome.NotHolder
	}
	s, ok := d.slots[j.slot]
	if d.stopped || !ok || !s.granted || s.stopped {
		return fulmaroutcome.Moving
	}
	// A hot key has one slot. A request routed by an older table must not be looked up
	// among other records than its duplicate.
	if !j.slotCurrent {
		return fulmaroutcome.Moving
	}
	if n, ok := d.hotSlots[j.hash]; ok && n != j.slot {
		return fulmaroutcome.Moving
	}
	return ""
}

// submit queues an admitted job, or returns why it is refused. The lock must be held.
func (d *Dispatcher) submit(j *job) fulmaroutcome.Reason {
	now := d.deps.Now()
	verdict := d.deps.Guard.Check(now, j.fingerprint)
	if verdict == fulmarguard.Refuse {
		return fulmaroutcome.Condemned
	}
	if !j.groupKnown {
		return fulmaroutcome.UnknownGroup
	}
	if d.limits[j.group] != j.limits {
		d.limits[j.group] = j.limits
		d.queue.SetLimits(j.group, j.limits)
	}
	cost, long := d.deps.Cost.Estimate(d.target.Service, j.kind)
	class := fulmarqueue.Short
	if long {
		class = fulmarqueue.Long
	}
	j.isolated = verdict == fulmarguard.Isolate
	j.item = fulmarqueue.Item[*job]{
		Group: j.group, Class: class, Cost: cost, Deadline: j.deadline, Exclusive: j.isolated, Value: j,
	}
	return d.enqueue(now, j)
}

// enqueue adds the job's item to the queue, or returns why the queue refuses it. The
// lock must be held.
func (d *Dispatcher) enqueue(now time.Time, j *job) fulmaroutcome.Reason {
	ticket, err := d.queue.Push(now, j.item)
	switch {
	case errors.Is(err, fulmarqueue.ErrDeadline):
		return fulmaroutcome.Deadline
	case err != nil:
		return fulmaroutcome.QueueFull
	}
	j.ticket = ticket
	d.waiting[j] = struct{}{}
	d.wakeScheduler()
	return ""
}

// serveIdempotent runs a job of an idempotent service, which is canceled with its caller.
func (d *Dispatcher) serveIdempotent(w http.ResponseWriter, r *http.Request, j *job) {
	j.ctx, j.cancel = context.WithCancelCause(r.Context())
	defer j.cancel(nil)
	reason := d.admitIdempotent(j)
	if reason != "" {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, reason, "")
		return
	}
	defer d.endInFlight(j)
	timer := time.NewTimer(j.deadline.Sub(d.deps.Now()))
	defer timer.Stop()
	select {
	case <-j.ready:
	case <-r.Context().Done():
		d.withdraw(j)
	case <-timer.C:
		d.withdraw(j)
	}
	if j.reason != "" {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, j.reason, "")
		return
	}
	if err := d.runIdempotent(w, j); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// admitIdempotent queues an idempotent job and counts it as in flight, or returns
// why it is refused.
func (d *Dispatcher) admitIdempotent(j *job) fulmaroutcome.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason := d.admissionRefusal(j); reason != "" {
		return reason
	}
	if reason := d.submit(j); reason != "" {
		return reason
	}
	d.addInFlight(j)
	return ""
}

// endInFlight undoes one call of addInFlight. It acquires the lock.
func (d *Dispatcher) endInFlight(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeInFlight(j)
}

// withdraw refuses a job that is still queued. When it returns, the job is either
// refused or started.
func (d *Dispatcher) withdraw(j *job) {
	d.mu.Lock()
	d.refuseQueued(j, fulmaroutcome.Deadline)
	d.mu.Unlock()
	<-j.ready
}

// serveAtMostOnce runs a job of an at-most-once service, or answers with the result
// of the only execution of its id.
func (d *Dispatcher) serveAtMostOnce(w http.ResponseWriter, r *http.Request, j *job) {
	if j.id.Version() != 7 {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, fulmaroutcome.IDMissing, "a UUID of version 7 is required")
		return
	}
	j.ctx, j.cancel = context.WithCancelCause(context.WithoutCancel(r.Context()))
	deadline := j.deadline
	entry, owner, answer := d.admitAtMostOnce(j)
	if entry == nil {
		j.cancel(nil)
		fulmarreply.Refuse(w, fulmaroutcome.Outcome(answer.Outcome), fulmaroutcome.Reason(answer.Reason), "")
		return
	}
	defer d.endInFlight(j)
	if owner == j {
		defer close(j.handlerGone)
	} else {
		j.cancel(nil)
	}
	d.awaitAnswer(w, r, j, owner, entry, deadline)
}

// awaitAnswer answers with the result of the owner, which is the job that executes
// the id. It stops waiting at the deadline or when the caller disconnects.
func (d *Dispatcher) awaitAnswer(w http.ResponseWriter, r *http.Request, j, owner *job, entry *fulmardedup.Entry, deadline time.Time) {
	var streams chan *streamedAnswer
	if owner == j {
		streams = j.stream
	}
	timer := time.NewTimer(deadline.Sub(d.deps.Now()))
	defer timer.Stop()
	select {
	case <-entry.Done():
	case s := <-streams:
		if err := s.serve(w); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	case <-r.Context().Done():
		d.removeWaiter(owner, owner == j)
	case <-timer.C:
		d.removeWaiter(owner, owner == j)
	}
	select {
	case <-entry.Done():
		writeAnswer(w, entry.Answer())
	default:
		if owner == j && !j.body.Complete() {
			// Unblocks the request to the target if it is still reading the caller's body.
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		}
		fulmarreply.Refuse(w, fulmaroutcome.Unknown, fulmaroutcome.Late, "")
	}
}

// admitAtMostOnce looks up the id and queues the job of a first attempt. If the
// returned entry is nil, the answer is final. Otherwise the returned job is the
// owner, which executes the id, or nil if the execution has ended.
func (d *Dispatcher) admitAtMostOnce(j *job) (*fulmardedup.Entry, *job, fulmardedup.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason := d.admissionRefusal(j); reason != "" {
		return nil, nil, notRunAnswer(reason)
	}
	verdict, entry := d.dedup.Begin(d.deps.Now(), j.slot, j.hash, j.id)
	switch verdict {
	case fulmardedup.Unknown:
		return nil, nil, unknownAnswer(fulmaroutcome.BeforeHorizon)
	case fulmardedup.AheadOfClock:
		return nil, nil, notRunAnswer(fulmaroutcome.IDAhead)
	case fulmardedup.Replay:
		d.deps.Metrics.Count(CountReplay)
		d.addInFlight(j)
		return entry, nil, fulmardedup.Answer{}
	case fulmardedup.Wait:
		d.deps.Metrics.Count(CountDuplicate)
		d.addInFlight(j)
		owner := d.jobsByEntry[entry]
		if owner != nil {
			owner.waiters++
			if j.deadline.After(owner.deadline) {
				owner.deadline = j.deadline
			}
		}
		return entry, owner, fulmardedup.Answer{}
	}
	j.entry = entry
	if reason := d.submit(j); reason != "" {
		d.dedup.Abandon(entry, notRunAnswer(reason))
		return nil, nil, notRunAnswer(reason)
	}
	j.waiters = 1
	d.jobsByEntry[entry] = j
	d.addInFlight(j)
	return entry, j, fulmardedup.Answer{}
}

// removeWaiter records that a handler no longer waits for the owner's execution. A
// queued job is refused if no handler waits for it, or if the first handler, which
// holds the unread part of its body, leaves.
func (d *Dispatcher) removeWaiter(owner *job, first bool) {
	if owner == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	owner.waiters--
	if owner.waiters == 0 || first && !owner.body.Complete() {
		d.refuseQueued(owner, fulmaroutcome.Deadline)
	}
}

// notRunAnswer returns an answer with outcome not-run.
func notRunAnswer(r fulmaroutcome.Reason) fulmardedup.Answer {
	return fulmardedup.Answer{Outcome: string(fulmaroutcome.NotRun), Reason: string(r)}
}

// unknownAnswer returns an answer with outcome unknown.
func unknownAnswer(r fulmaroutcome.Reason) fulmardedup.Answer {
	return fulmardedup.Answer{Outcome: string(fulmaroutcome.Unknown), Reason: string(r)}
}
