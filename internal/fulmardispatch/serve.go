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

// ServeHTTP runs one request that is routed here and panics with http.ErrAbortHandler if its answer breaks off.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j, detail := d.parse(r)
	if detail != "" {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, fulmaroutcome.Malformed, detail)
		return
	}
	if reason := d.precheck(j); reason != "" {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, reason, "")
		return
	}
	if !d.read(w, r, j) {
		return
	}
	d.resolve(j)
	if d.deps.Idempotent(d.target.Service) {
		d.serveIdempotent(w, r, j)
		return
	}
	d.serveOnce(w, r, j)
}

// precheck refuses a request before its body is read; the binding check follows with the lock held.
func (d *Dispatcher) precheck(j *job) fulmaroutcome.Reason {
	d.resolve(j)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.check(j)
}

// resolve reads the table and the limits. It runs without the lock, because their owner may call the
// dispatcher while it holds its own lock.
func (d *Dispatcher) resolve(j *job) {
	slot, ok := d.deps.Table().Slot(d.target.Service, j.key)
	j.routed = ok && slot == j.slot
	limits, ok := d.deps.Limits(d.target.Service, j.group)
	j.known = ok
	j.limits = fulmarqueue.Limits{Weight: limits.Weight, MaxQueued: limits.Queue}
}

// read takes the first part of the body and computes the fingerprint.
func (d *Dispatcher) read(w http.ResponseWriter, r *http.Request, j *job) bool {
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(j.deadline) // without support the caller's handler bounds the time
	}
	body, err := fulmarbody.Read(r.Body, r.ContentLength)
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

// check returns why a job can't be admitted, "" if it can; with the lock held.
func (d *Dispatcher) check(j *job) fulmaroutcome.Reason {
	if d.closed || !d.opened {
		return fulmaroutcome.NotHolder
	}
	s, ok := d.slots[j.slot]
	if d.stopped || !ok || !s.granted || s.stopped {
		return fulmaroutcome.Moving
	}
	// A hot key has one slot; a request routed by an older table must not reach another memory than its duplicate.
	if !j.routed {
		return fulmaroutcome.Moving
	}
	if n, ok := d.hot[j.hash]; ok && n != j.slot {
		return fulmaroutcome.Moving
	}
	return ""
}

// push queues a job that was admitted and returns why it can't run; with the lock held.
func (d *Dispatcher) push(j *job) fulmaroutcome.Reason {
	now := d.deps.Now()
	verdict := d.deps.Guard.Check(now, j.fingerprint)
	if verdict == fulmarguard.Refuse {
		return fulmaroutcome.Condemned
	}
	if !j.known {
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

// enqueue pushes the job's item; with the lock held.
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
	d.signal()
	return ""
}

// serveIdempotent runs a job whose order ends with its caller.
func (d *Dispatcher) serveIdempotent(w http.ResponseWriter, r *http.Request, j *job) {
	j.ctx, j.cancel = context.WithCancelCause(r.Context())
	defer j.cancel(nil)
	reason := d.admit(j)
	if reason != "" {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, reason, "")
		return
	}
	defer d.leave(j)
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

// admit counts and queues an idempotent job, or returns why not.
func (d *Dispatcher) admit(j *job) fulmaroutcome.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason := d.check(j); reason != "" {
		return reason
	}
	if reason := d.push(j); reason != "" {
		return reason
	}
	d.hold(j)
	return ""
}

// leave ends the hold of a handler.
func (d *Dispatcher) leave(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(j)
}

// withdraw refuses a job that still waits; afterwards the job is either refused or started.
func (d *Dispatcher) withdraw(j *job) {
	d.mu.Lock()
	d.refuse(j, fulmaroutcome.Deadline)
	d.mu.Unlock()
	<-j.ready
}

// serveOnce runs a job of an at-most-once service, or gives it the answer of the one execution of its id.
func (d *Dispatcher) serveOnce(w http.ResponseWriter, r *http.Request, j *job) {
	if j.id.Version() != 7 {
		fulmarreply.Refuse(w, fulmaroutcome.NotRun, fulmaroutcome.IDMissing, "a UUID of version 7 is required")
		return
	}
	j.ctx, j.cancel = context.WithCancelCause(context.WithoutCancel(r.Context()))
	deadline := j.deadline
	entry, owner, answer := d.admitOnce(j)
	if entry == nil {
		j.cancel(nil)
		fulmarreply.Refuse(w, fulmaroutcome.Outcome(answer.Outcome), fulmaroutcome.Reason(answer.Reason), "")
		return
	}
	defer d.leave(j)
	if owner == j {
		defer close(j.gone)
	} else {
		j.cancel(nil)
	}
	d.wait(w, r, j, owner, entry, deadline)
}

// wait answers with the result of the owner's execution, or leaves it at the deadline.
func (d *Dispatcher) wait(w http.ResponseWriter, r *http.Request, j, owner *job, entry *fulmardedup.Entry, deadline time.Time) {
	var streams chan *stream
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
		d.stopWaiting(owner, owner == j)
	case <-timer.C:
		d.stopWaiting(owner, owner == j)
	}
	select {
	case <-entry.Done():
		writeAnswer(w, entry.Answer())
	default:
		if owner == j && !j.body.Complete() {
			// Ends a read of the caller's body that the order may still wait for.
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		}
		fulmarreply.Refuse(w, fulmaroutcome.Unknown, fulmaroutcome.Late, "")
	}
}

// admitOnce looks up the id and queues the job of a first attempt. The entry is nil if the answer is final;
// otherwise the owner is the job of the execution, nil if it has ended.
func (d *Dispatcher) admitOnce(j *job) (*fulmardedup.Entry, *job, fulmardedup.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason := d.check(j); reason != "" {
		return nil, nil, notRun(reason)
	}
	verdict, entry := d.memory.Begin(d.deps.Now(), j.slot, j.hash, j.id)
	switch verdict {
	case fulmardedup.Unknown:
		return nil, nil, unknown(fulmaroutcome.BeforeHorizon)
	case fulmardedup.AheadOfClock:
		return nil, nil, notRun(fulmaroutcome.IDAhead)
	case fulmardedup.Replay:
		d.deps.Metrics.Count(CountReplay)
		d.hold(j)
		return entry, nil, fulmardedup.Answer{}
	case fulmardedup.Wait:
		d.deps.Metrics.Count(CountDuplicate)
		d.hold(j)
		owner := d.jobs[entry]
		if owner != nil {
			owner.waiters++
			if j.deadline.After(owner.deadline) {
				owner.deadline = j.deadline
			}
		}
		return entry, owner, fulmardedup.Answer{}
	}
	j.entry = entry
	if reason := d.push(j); reason != "" {
		d.memory.Abandon(entry, notRun(reason))
		return nil, nil, notRun(reason)
	}
	j.waiters = 1
	d.jobs[entry] = j
	d.hold(j)
	return entry, j, fulmardedup.Answer{}
}

// stopWaiting ends the wait of a handler; a job that nobody waits for, or whose body leaves, is refused if it has not started.
func (d *Dispatcher) stopWaiting(owner *job, first bool) {
	if owner == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	owner.waiters--
	if owner.waiters == 0 || first && !owner.body.Complete() {
		d.refuse(owner, fulmaroutcome.Deadline)
	}
}

func notRun(r fulmaroutcome.Reason) fulmardedup.Answer {
	return fulmardedup.Answer{Outcome: string(fulmaroutcome.NotRun), Reason: string(r)}
}

func unknown(r fulmaroutcome.Reason) fulmardedup.Answer {
	return fulmardedup.Answer{Outcome: string(fulmaroutcome.Unknown), Reason: string(r)}
}
