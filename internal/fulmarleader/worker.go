package fulmarleader

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarledger"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
)

const (
	grantTimeout = 500 * time.Millisecond
	// releaseTimeout allows for the longest requests that may still run on the keys.
	releaseTimeout = 4 * time.Second
)

// worker sends the orders for one target. It has a goroutine only while orders are due: a leader of thousands of targets would
// hold a stack for each of them, mostly without use.
type worker struct {
	target     fulmarcatalog.Target
	lastListed time.Time // when the target was last listed
	ctx        context.Context
	cancel     context.CancelFunc
	run        func()          // sends all orders that are due
	group      *sync.WaitGroup // of the goroutines of the term

	mu      sync.Mutex
	next    *time.Timer // starts run when the next order is due
	running bool
	woken   bool // orders may have become due since run looked for one
	stopped bool
}

// wake makes the worker look for due orders. It may be called with the lock of the term held.
func (w *worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case w.running:
		w.woken = true
	default:
		w.running, w.woken = true, false
		w.group.Go(w.run)
	}
}

// rest ends run until the next order is due after wait, and reports whether it may end: the worker has not been woken meanwhile.
func (w *worker) rest(wait time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken && !w.stopped {
		w.woken = false
		return false
	}
	w.running = false
	if w.stopped {
		return true
	}
	if w.next == nil {
		w.next = time.AfterFunc(wait, w.wake)
	} else {
		w.next.Reset(wait)
	}
	return true
}

// stop stops the worker for good. Orders in flight are abandoned.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.cancel()
	if w.next != nil {
		w.next.Stop()
	}
}

// startWorkers starts a worker for each target of a keyed service and stops those of targets that have not been listed
// for workerRetention. It does nothing after stopWorkers: a read of the store may end after the term. The caller holds mu.
func (t *Term) startWorkers(now time.Time) {
	if t.workersStopped {
		return
	}
	for _, target := range t.snapshot.Catalog.Targets() {
		if t.services[target.Service] == nil {
			continue
		}
		incarnation := target.Incarnation()
		if w := t.workers[incarnation]; w != nil {
			w.lastListed = now
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		w := &worker{target: target, lastListed: now, ctx: ctx, cancel: cancel, group: &t.group}
		w.run = func() { t.sendDueOrders(w) }
		t.workers[incarnation] = w
		w.wake()
	}
	for incarnation, w := range t.workers {
		if now.Sub(w.lastListed) > workerRetention {
			w.stop()
			delete(t.workers, incarnation)
		}
	}
}

// stopWorkers stops all workers for good.
func (t *Term) stopWorkers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workersStopped = true
	for _, w := range t.workers {
		w.stop()
	}
}

// sendDueOrders sends the orders for one target until none is due.
func (t *Term) sendDueOrders(w *worker) {
	for w.ctx.Err() == nil {
		order, entry, wait, ok := t.nextOrder(w)
		switch {
		case !ok:
			if w.rest(wait) {
				return
			}
		case order.Kind == fulmarorder.Release && !order.AfterGrants && !order.Probe:
			t.group.Go(func() { t.sendOrder(w, order, entry) })
		default:
			t.sendOrder(w, order, entry)
		}
	}
}

// nextOrder returns the order that is due now and marks it as being sent. If none is due, ok is false and wait is the
// time until the next check.
func (t *Term) nextOrder(w *worker) (o fulmarorder.Order, entry fulmarledger.OrderID, wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if !now.Before(t.validUntil) || t.lease.era.HasEnded() {
		return o, 0, retryInterval, false
	}
	book, silent := t.services[w.target.Service].orders, t.silence.IsSilent(now, w.target.DC)
	o, wait, ok = book.Next(now, w.target.Incarnation())
	if !ok {
		o, wait, ok = t.nextProbe(now, w, wait)
	}
	if ok && silent && !t.silence.MayProbe(now, w.target.DC) {
		// A grant that is not sent does not delay the next owner of the keys.
		return o, 0, silentCheckInterval, false
	}
	if ok {
		entry = book.BeginSend(o)
		t.duties.orders++
	}
	return o, entry, wait, ok
}

// nextProbe returns the probe that is due for a target to which no other order is due before wait. An unlisted target cannot be given
// keys, so it is not asked. The caller holds mu.
func (t *Term) nextProbe(now time.Time, w *worker, wait time.Duration) (o fulmarorder.Order, untilNext time.Duration, ok bool) {
	s, target := t.services[w.target.Service], w.target.Incarnation()
	untilProbe, lost := s.reach.UntilProbe(now, target)
	if !lost {
		return o, wait, false
	}
	if untilProbe > 0 {
		return o, min(wait, untilProbe), false
	}
	if listed, ok := t.snapshot.Catalog.Target(target.ID); !ok || listed.Incarnation() != target {
		return o, wait, false
	}
	o, ok = s.orders.Probe(now, target)
	return o, wait, ok
}

// sendOrder sends an order and records its outcome.
func (t *Term) sendOrder(w *worker, o fulmarorder.Order, entry fulmarledger.OrderID) {
	timeout := grantTimeout
	if o.Kind == fulmarorder.Release && !o.AfterGrants && !o.Probe {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	began := t.deps.Now()
	reply, err := t.deps.Orders.Send(ctx, w.target.Address, o)
	cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if errors.Is(err, fulmarorder.ErrMisdirected) && !t.replaced(w.target) {
		// An address is reused for another target only after the process of the former target has ended.
		err = errors.Wrap(fulmarorder.ErrTargetEnded, err.Error())
	}
	if errors.Is(err, fulmarorder.ErrUncertain) {
		t.deps.Metrics.Count("order.answer_uncertain")
	}
	book := t.services[w.target.Service].orders
	t.recordOutcome(began, now, w, o, err)
	changed := book.EndSend(now, o, entry, reply, err)
	if o.Probe {
		t.deps.Metrics.Count("order.probe")
		return
	}
	if err != nil || changed || o.AfterGrants {
		t.deps.Log.Info("order to target completed or failed", "kind", o.Kind.String(), "target", o.Incarnation.ID, "from", o.From, "to", o.To,
			"fence", o.Fence, "hold", o.TTL, "after_grants", o.AfterGrants, "connection", reply.Connection, "certain", reply.Certain, "took", now.Sub(began), "error", err)
	}
	if changed {
		t.requestPublish()
	}
	if o.Kind == fulmarorder.Release {
		w.wake() // other releases may have waited for the end of this one
		if err == nil || errors.Is(err, fulmarorder.ErrTargetEnded) {
			t.wakeOwners(book, o)
		}
	}
}

// wakeOwners wakes the workers of the targets that own the keys of an order. The caller holds mu.
func (t *Term) wakeOwners(book *fulmarorder.Scheduler, o fulmarorder.Order) {
	for _, s := range book.Table().Overlapping(o.From, o.To) {
		if w := t.workers[s.Owner.Incarnation]; w != nil {
			w.wake()
		}
	}
}

// replaced reports whether a different process with the target's id is listed, which may have received earlier grants.
// The caller holds mu.
func (t *Term) replaced(target fulmarcatalog.Target) bool {
	listed, ok := t.snapshot.Catalog.Target(target.ID)
	return ok && (listed.Born != target.Born || listed.Address != target.Address)
}
