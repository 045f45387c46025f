package fulmardispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/internal/fulmartarget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// runScheduler starts queued jobs and expires old records until Close.
func (d *Dispatcher) runScheduler() {
	defer close(d.done)
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-d.wake:
			d.startReady()
		case <-ticker.C:
			d.expire()
		case <-d.quit:
			return
		}
	}
}

// startReady starts the queued jobs that may run now.
func (d *Dispatcher) startReady() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for !d.suspended && !d.closed && d.renewalsDue == 0 {
		now := d.deps.Now()
		ticket, item, ok := d.queue.Pop(now)
		if !ok {
			return
		}
		j := item.Value
		delete(d.waiting, j)
		if reason := d.startRefusal(now, j); reason != "" {
			d.queue.Done(ticket, 0)
			d.refuseDequeued(j, reason)
			continue
		}
		if d.requeueIsolated(now, j) {
			continue
		}
		j.state, j.startedAt = stateStarted, now
		d.running[j] = struct{}{}
		d.deps.Metrics.Count(CountDispatched)
		if j.entry != nil {
			d.addInFlight(j)
			go d.runAtMostOnce(j)
		}
		close(j.ready)
	}
}

// startRefusal returns why a dequeued job must not start, or "" if it may. The lock
// must be held.
func (d *Dispatcher) startRefusal(now time.Time, j *job) fulmaroutcome.Reason {
	if !now.Before(j.deadline) {
		return fulmaroutcome.Deadline
	}
	if d.deps.Guard.Check(now, j.fingerprint) == fulmarguard.Refuse {
		return fulmaroutcome.Condemned
	}
	// Only the lease of this instance protects a target that does not check fencing tokens.
	if !d.target.Fenced && d.deps.HoldsLease != nil && !d.deps.HoldsLease() {
		return fulmaroutcome.Stale
	}
	return ""
}

// requeueIsolated puts a dequeued job that has meanwhile become suspect back into
// the queue, to run alone. It returns false if the job may start now. The lock must
// be held.
func (d *Dispatcher) requeueIsolated(now time.Time, j *job) bool {
	if j.isolated || d.deps.Guard.Check(now, j.fingerprint) != fulmarguard.Isolate {
		return false
	}
	d.queue.Done(j.ticket, 0)
	j.isolated, j.item.Exclusive = true, true
	if reason := d.enqueue(now, j); reason != "" {
		d.refuseDequeued(j, reason)
	}
	return true
}

// expire removes old request ids and the records of slots that left the grant at
// least exportRetention ago.
func (d *Dispatcher) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Now()
	d.dedup.Expire(now)
	for n, s := range d.slots {
		if s.granted || s.inFlight > 0 || now.Sub(s.leftAt) < exportRetention {
			continue
		}
		d.closeDedup(n, s)
		if !s.hotKey && !s.stopped {
			delete(d.slots, n)
		}
	}
}

// targetRequest returns the request to the target for a started job.
func (d *Dispatcher) targetRequest(j *job) fulmartarget.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	deadline := j.deadline
	if !d.target.Fenced && d.deps.MaxUnfencedTimeout > 0 {
		if latest := d.deps.Now().Add(d.deps.MaxUnfencedTimeout); latest.Before(deadline) {
			deadline = latest
		}
	}
	return fulmartarget.Order{
		Method: j.method, Path: j.path, Header: j.header, Body: j.reader, BodyLength: j.body.Length(),
		Sender: d.deps.Self, Term: d.term, Slot: j.slot, Deadline: deadline,
	}
}

// sendToTarget sends the request to the target. If resp is nil, a holds the outcome.
func (d *Dispatcher) sendToTarget(ctx context.Context, j *job, req fulmartarget.Order) (resp *http.Response, a fulmardedup.Answer) {
	resp, err := d.deps.Client.Do(ctx, d.target.Address, req)
	if err != nil {
		return nil, d.failureAnswer(ctx, j, err)
	}
	reason, refused := fulmartarget.NotRun(resp)
	if !refused {
		return resp, a
	}
	_ = resp.Body.Close()
	if reason == fulmaroutcome.Fenced && d.deps.OnFenced != nil {
		d.deps.OnFenced(d.target.ID)
	}
	return nil, notRunAnswer(reason)
}

// failureAnswer returns the outcome of a request that ended without a response.
func (d *Dispatcher) failureAnswer(ctx context.Context, j *job, err error) fulmardedup.Answer {
	expired := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTargetLost)
	if errors.Is(err, fulmartarget.ErrNotSent) {
		if expired {
			return notRunAnswer(fulmaroutcome.Deadline)
		}
		return notRunAnswer(fulmaroutcome.Dial)
	}
	if expired {
		return unknownAnswer(fulmaroutcome.Late)
	}
	if !errors.Is(err, fulmartarget.ErrForeign) { // a target that answers has not crashed
		d.recordBroken(ctx, j)
	}
	return unknownAnswer(fulmaroutcome.TargetLost)
}

// recordBroken records that the connection broke while the job ran. When a target
// crashes, its connections break before the loss is detected.
func (d *Dispatcher) recordBroken(ctx context.Context, j *job) {
	d.deps.Metrics.Count(CountConnectionBroken)
	if ctx.Err() != nil {
		return // the request was canceled by Lost, which returned the fingerprint
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.isolated {
		// The target has probably crashed. The connection of the next suspect
		// would break too, and the suspect would be condemned for it.
		d.renewalsDue = renewalsAfterSuspectBreak
	}
	d.expireBroken(brokenExecutionWindow)
	d.brokenExecutions = append(d.brokenExecutions, brokenExecution{fingerprint: j.fingerprint, brokenAt: d.deps.Now()})
}

// runIdempotent sends the request to the target and relays the response. It returns
// an error if the response was truncated after a part was relayed.
func (d *Dispatcher) runIdempotent(w http.ResponseWriter, j *job) error {
	defer j.reader.Close()
	req := d.targetRequest(j)
	ctx, cancel := context.WithDeadline(j.ctx, req.Deadline)
	defer cancel()
	complete := false
	defer func() { d.finishExecution(j, nil, complete) }()
	resp, a := d.sendToTarget(ctx, j, req)
	if resp == nil {
		d.finishExecution(j, nil, false)
		fulmarreply.Refuse(w, fulmaroutcome.Outcome(a.Outcome), fulmaroutcome.Reason(a.Reason), "")
		return nil
	}
	defer resp.Body.Close()
	err := fulmarreply.Copy(w, resp)
	complete = err == nil
	if errors.Is(err, fulmarreply.ErrIncomplete) {
		a = d.brokenBodyAnswer(ctx, j)
		fulmarreply.Refuse(w, fulmaroutcome.Unknown, fulmaroutcome.Reason(a.Reason), "")
		return nil
	}
	return err
}

// brokenBodyAnswer returns the outcome of a request whose response was truncated.
func (d *Dispatcher) brokenBodyAnswer(ctx context.Context, j *job) fulmardedup.Answer {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTargetLost) {
		return unknownAnswer(fulmaroutcome.Late)
	}
	d.recordBroken(ctx, j)
	return unknownAnswer(fulmaroutcome.BodyBroken)
}

// runAtMostOnce sends a request of an at-most-once service to the target and records
// the response.
func (d *Dispatcher) runAtMostOnce(j *job) {
	defer j.reader.Close()
	req := d.targetRequest(j)
	grace := responseGrace
	if !d.target.Fenced {
		grace = 0 // the slots of a target without fencing may move as soon as the deadlines of its requests have passed
	}
	ctx, cancel := context.WithDeadline(j.ctx, req.Deadline.Add(grace))
	defer cancel()
	defer d.endInFlight(j)
	resp, a := d.sendToTarget(ctx, j, req)
	if resp == nil {
		d.finishExecution(j, &a, false)
		return
	}
	defer resp.Body.Close()
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.deps.Dedup.MaxBody)+1))
	if err != nil {
		a = d.brokenBodyAnswer(ctx, j)
		d.finishExecution(j, &a, false)
		return
	}
	a = fulmardedup.Answer{
		Outcome: string(fulmaroutcome.Served), Status: resp.StatusCode, Header: http.Header{}, Body: prefix,
	}
	fulmarreply.CopyHeader(a.Header, resp.Header)
	if len(prefix) <= d.deps.Dedup.MaxBody {
		d.finishExecution(j, &a, true)
		return
	}
	a.Body, a.BodyDropped = nil, true
	err = d.streamToHandler(j, resp, prefix)
	if err != nil && ctx.Err() == nil {
		d.recordBroken(ctx, j)
	}
	d.finishExecution(j, &a, err == nil)
}

// streamToHandler passes a response that is too long to record to the first
// handler, or discards it if that handler has returned. It returns the error of
// reading from the target.
func (d *Dispatcher) streamToHandler(j *job, resp *http.Response, prefix []byte) error {
	body := &targetBody{Reader: resp.Body}
	s := &streamedAnswer{resp: resp, prefix: prefix, body: body, done: make(chan struct{})}
	select {
	case j.stream <- s:
		<-s.done
	case <-j.handlerGone:
	}
	if body.err == nil && !body.reachedEOF {
		_, _ = io.Copy(io.Discard, body) // the target is left to finish the request
	}
	return body.err
}

// finishExecution frees the queue slot of a started job and records the answer of
// an at-most-once job. Later calls for the same job do nothing.
func (d *Dispatcher) finishExecution(j *job, a *fulmardedup.Answer, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.state != stateStarted {
		return
	}
	j.state = stateEnded
	used := d.deps.Now().Sub(j.startedAt)
	d.queue.Done(j.ticket, used)
	delete(d.running, j)
	d.loads.add(j.slot, j.hash, used)
	if j.entry != nil {
		delete(d.jobsByEntry, j.entry)
		if a.Outcome == string(fulmaroutcome.NotRun) {
			d.dedup.Abandon(j.entry, *a)
		} else {
			d.dedup.Finish(j.entry, *a)
		}
		j.cancel(nil)
	}
	if complete {
		d.deps.Cost.Observe(d.target.Service, j.kind, used)
		if j.isolated {
			d.deps.Guard.Clear(j.fingerprint)
			if d.deps.OnSuspectCleared != nil {
				go d.deps.OnSuspectCleared(j.fingerprint) // the callback may take a lock whose holder calls this dispatcher
			}
		}
	}
	d.wakeScheduler()
}

// targetBody is a response body that records whether the target ended it or reading
// it failed, as opposed to writing to the caller.
type targetBody struct {
	io.Reader
	reachedEOF bool
	err        error
}

// Read reads from the body and records how it ended.
func (s *targetBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.reachedEOF = true
	case err != nil:
		s.err = err
	}
	return n, err
}

// streamedAnswer is a response that is too long to record and is streamed to the
// first handler.
type streamedAnswer struct {
	resp   *http.Response
	prefix []byte
	body   io.Reader
	done   chan struct{}
}

// serve relays the response. It returns an error if the response was truncated.
func (s *streamedAnswer) serve(w http.ResponseWriter) error {
	defer close(s.done)
	fulmarreply.WriteHead(w, s.resp)
	if _, err := w.Write(s.prefix); err != nil {
		return errors.Wrap(err, "fulmardispatch: write response")
	}
	return fulmarreply.Stream(w, s.body, s.resp.ContentLength < 0)
}

// writeAnswer writes a recorded answer.
func writeAnswer(w http.ResponseWriter, a fulmardedup.Answer) {
	if a.BodyDropped {
		fulmarreply.Refuse(w, fulmaroutcome.Unknown, fulmaroutcome.AnswerDropped, "")
		return
	}
	if a.Outcome != string(fulmaroutcome.Served) {
		fulmarreply.Refuse(w, fulmaroutcome.Outcome(a.Outcome), fulmaroutcome.Reason(a.Reason), "")
		return
	}
	h := w.Header()
	fulmarreply.CopyHeader(h, a.Header)
	h.Set(fulmaroutcome.HeaderOutcome, a.Outcome)
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that has disconnected can send the request again
}
