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

// schedule starts jobs until Close.
func (d *Dispatcher) schedule() {
	defer close(d.done)
	ticker := time.NewTicker(sweep)
	defer ticker.Stop()
	for {
		select {
		case <-d.wake:
			d.start()
		case <-ticker.C:
			d.sweep()
		case <-d.quit:
			return
		}
	}
}

// start starts the jobs whose turn it is.
func (d *Dispatcher) start() {
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
		if reason := d.recheck(now, j); reason != "" {
			d.queue.Done(ticket, 0)
			d.reject(j, reason)
			continue
		}
		if d.isolate(now, j) {
			continue
		}
		j.state, j.begun = started, now
		d.running[j] = struct{}{}
		d.deps.Metrics.Count(CountDispatched)
		if j.entry != nil {
			d.hold(j)
			go d.runOnce(j)
		}
		close(j.ready)
	}
}

// recheck returns why a job whose turn it is must not start; with the lock held.
func (d *Dispatcher) recheck(now time.Time, j *job) fulmaroutcome.Reason {
	if !now.Before(j.deadline) {
		return fulmaroutcome.Deadline
	}
	if d.deps.Guard.Check(now, j.fingerprint) == fulmarguard.Refuse {
		return fulmaroutcome.Condemned
	}
	// Nothing but the sender's own lease protects a target that checks no fence.
	if !d.target.Fenced && d.deps.HoldsLease != nil && !d.deps.HoldsLease() {
		return fulmaroutcome.Stale
	}
	return ""
}

// isolate puts a job that became suspect while it waited back into the queue, to run alone; with the lock held.
func (d *Dispatcher) isolate(now time.Time, j *job) bool {
	if j.isolated || d.deps.Guard.Check(now, j.fingerprint) != fulmarguard.Isolate {
		return false
	}
	d.queue.Done(j.ticket, 0)
	j.isolated, j.item.Exclusive = true, true
	if reason := d.enqueue(now, j); reason != "" {
		d.reject(j, reason)
	}
	return true
}

// sweep drops old request ids and the memory of slots that left long ago.
func (d *Dispatcher) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.deps.Now()
	d.memory.Expire(now)
	for n, s := range d.slots {
		if s.granted || s.flight > 0 || now.Sub(s.left) < linger {
			continue
		}
		d.forget(n, s)
		if !s.hot && !s.stopped {
			delete(d.slots, n)
		}
	}
}

// order returns the order of a job that was started.
func (d *Dispatcher) order(j *job) fulmartarget.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	deadline := j.deadline
	if !d.target.Fenced && d.deps.MaxUnfencedTimeout > 0 {
		if bound := d.deps.Now().Add(d.deps.MaxUnfencedTimeout); bound.Before(deadline) {
			deadline = bound
		}
	}
	return fulmartarget.Order{
		Method: j.method, Path: j.path, Header: j.header, Body: j.body.Reader(), BodyLength: j.body.Length(),
		Sender: d.deps.Self, Term: d.term, Slot: j.slot, Deadline: deadline,
	}
}

// send sends the order; the answer says what is known if resp is nil.
func (d *Dispatcher) send(ctx context.Context, j *job, o fulmartarget.Order) (resp *http.Response, a fulmardedup.Answer) {
	resp, err := d.deps.Client.Do(ctx, d.target.Address, o)
	if err != nil {
		return nil, d.failure(ctx, j, err)
	}
	reason, refused := fulmartarget.NotRun(resp)
	if !refused {
		return resp, a
	}
	_ = resp.Body.Close()
	if reason == fulmaroutcome.Fenced && d.deps.OnFenced != nil {
		d.deps.OnFenced(d.target.ID)
	}
	return nil, notRun(reason)
}

// failure returns what is known of an order that ended without an answer.
func (d *Dispatcher) failure(ctx context.Context, j *job, err error) fulmardedup.Answer {
	late := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errLost)
	if errors.Is(err, fulmartarget.ErrNotSent) {
		if late {
			return notRun(fulmaroutcome.Deadline)
		}
		return notRun(fulmaroutcome.Dial)
	}
	if late {
		return unknown(fulmaroutcome.Late)
	}
	d.breakOff(ctx, j)
	return unknown(fulmaroutcome.TargetLost)
}

// breakOff notes that the connection broke while the job ran, because a target that crashes breaks
// its connections before it is known as lost.
func (d *Dispatcher) breakOff(ctx context.Context, j *job) {
	d.deps.Metrics.Count(CountConnectionBroken)
	if ctx.Err() != nil {
		return // the order was ended by Lost, which returned the fingerprint
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.isolated {
		// The target has probably crashed. The next suspect would break off, too,
		// and be condemned for it.
		d.renewalsDue = renewalsAfterBreak
	}
	d.trimBroken(suspicion)
	d.broken = append(d.broken, broken{fingerprint: j.fingerprint, at: d.deps.Now()})
}

// runIdempotent sends the order and passes on the answer; an error means that the answer was cut off.
func (d *Dispatcher) runIdempotent(w http.ResponseWriter, j *job) error {
	o := d.order(j)
	ctx, cancel := context.WithDeadline(j.ctx, o.Deadline)
	defer cancel()
	complete := false
	defer func() { d.end(j, nil, complete) }()
	resp, a := d.send(ctx, j, o)
	if resp == nil {
		d.end(j, nil, false)
		fulmarreply.Refuse(w, fulmaroutcome.Outcome(a.Outcome), fulmaroutcome.Reason(a.Reason), "")
		return nil
	}
	defer resp.Body.Close()
	err := fulmarreply.Copy(w, resp)
	complete = err == nil
	if errors.Is(err, fulmarreply.ErrIncomplete) {
		a = d.brokenBody(ctx, j)
		fulmarreply.Refuse(w, fulmaroutcome.Unknown, fulmaroutcome.Reason(a.Reason), "")
		return nil
	}
	return err
}

// brokenBody returns what is known of an order whose answer broke off.
func (d *Dispatcher) brokenBody(ctx context.Context, j *job) fulmardedup.Answer {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errLost) {
		return unknown(fulmaroutcome.Late)
	}
	d.breakOff(ctx, j)
	return unknown(fulmaroutcome.BodyBroken)
}

// runOnce sends the order of an at-most-once service and records its answer.
func (d *Dispatcher) runOnce(j *job) {
	o := d.order(j)
	grace := orderGrace
	if !d.target.Fenced {
		grace = 0 // its slots may move as soon as the deadlines of its orders have passed
	}
	ctx, cancel := context.WithDeadline(j.ctx, o.Deadline.Add(grace))
	defer cancel()
	defer d.leave(j)
	resp, a := d.send(ctx, j, o)
	if resp == nil {
		d.end(j, &a, false)
		return
	}
	defer resp.Body.Close()
	kept, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.deps.Dedup.MaxBody)+1))
	if err != nil {
		a = d.brokenBody(ctx, j)
		d.end(j, &a, false)
		return
	}
	a = fulmardedup.Answer{
		Outcome: string(fulmaroutcome.Served), Status: resp.StatusCode, Header: http.Header{}, Body: kept,
	}
	fulmarreply.CopyHeader(a.Header, resp.Header)
	if len(kept) <= d.deps.Dedup.MaxBody {
		d.end(j, &a, true)
		return
	}
	a.Body, a.BodyDropped = nil, true
	err = d.pass(j, resp, kept)
	if err != nil && ctx.Err() == nil {
		d.breakOff(ctx, j)
	}
	d.end(j, &a, err == nil)
}

// pass streams a long answer to the first handler, or discards it if that has left. The error is that of the target.
func (d *Dispatcher) pass(j *job, resp *http.Response, kept []byte) error {
	body := &source{Reader: resp.Body}
	s := &stream{resp: resp, kept: kept, body: body, done: make(chan struct{})}
	select {
	case j.stream <- s:
		<-s.done
	case <-j.gone:
	}
	if body.err == nil && !body.ended {
		_, _ = io.Copy(io.Discard, body) // the order is left to finish
	}
	return body.err
}

// end frees the slot of a started job and records the answer of an at-most-once one; later calls do nothing.
func (d *Dispatcher) end(j *job, a *fulmardedup.Answer, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.state != started {
		return
	}
	j.state = ended
	used := d.deps.Now().Sub(j.begun)
	d.queue.Done(j.ticket, used)
	delete(d.running, j)
	d.loads.add(j.slot, j.hash, used)
	if j.entry != nil {
		delete(d.jobs, j.entry)
		if a.Outcome == string(fulmaroutcome.NotRun) {
			d.memory.Abandon(j.entry, *a)
		} else {
			d.memory.Finish(j.entry, *a)
		}
		j.cancel(nil)
	}
	if complete {
		d.deps.Cost.Observe(d.target.Service, j.kind, used)
		if j.isolated {
			d.deps.Guard.Clear(j.fingerprint)
			if d.deps.OnSuspectCleared != nil {
				go d.deps.OnSuspectCleared(j.fingerprint) // its owner may hold a lock that calls this dispatcher
			}
		}
	}
	d.signal()
}

// source tells the end of the target's body from a fault of the reader.
type source struct {
	io.Reader
	ended bool
	err   error
}

// Read notes how the body ended.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.ended = true
	case err != nil:
		s.err = err
	}
	return n, err
}

// stream is an answer that is too long to keep, on its way to the first handler.
type stream struct {
	resp *http.Response
	kept []byte
	body io.Reader
	done chan struct{}
}

// serve passes on the answer; an error means that it was cut off.
func (s *stream) serve(w http.ResponseWriter) error {
	defer close(s.done)
	fulmarreply.WriteHead(w, s.resp)
	if _, err := w.Write(s.kept); err != nil {
		return errors.Wrap(err, "fulmardispatch: answer")
	}
	return fulmarreply.Stream(w, s.body, s.resp.ContentLength < 0)
}

// writeAnswer answers from the request memory.
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
	_, _ = w.Write(a.Body) // a caller that is gone can ask again
}
