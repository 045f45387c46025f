package fulmarleader

import (
	"context"
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

// worker sends the orders for one target.
type worker struct {
	target        fulmarcatalog.Target
	lastListed    time.Time // when the target was last listed
	wakeRequested chan struct{}
	cancel        context.CancelFunc
}

func (w *worker) wake() {
	select {
	case w.wakeRequested <- struct{}{}:
	default:
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
		w := &worker{target: target, lastListed: now, wakeRequested: make(chan struct{}, 1), cancel: cancel}
		t.workers[incarnation] = w
		t.group.Go(func() { t.runWorker(ctx, w) })
	}
	for incarnation, w := range t.workers {
		if now.Sub(w.lastListed) > workerRetention {
			w.cancel()
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
		w.cancel()
	}
}

// runWorker sends the orders for one target as they become due.
func (t *Term) runWorker(ctx context.Context, w *worker) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		order, entry, wait, ok := t.nextOrder(w)
		if ok {
			if order.Kind == fulmarorder.Release && !order.AfterGrants {
				t.group.Go(func() { t.sendOrder(ctx, w, order, entry) })
			} else {
				t.sendOrder(ctx, w, order, entry)
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-w.wakeRequested:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// nextOrder returns the order that is due now and marks it as being sent. If none is due, ok is false and wait is the
// time until the next check.
func (t *Term) nextOrder(w *worker) (o fulmarorder.Order, entry fulmarledger.GrantID, wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if !now.Before(t.validUntil) || t.lease.era.HasEnded() {
		return o, 0, retryInterval, false
	}
	book := t.services[w.target.Service].orders
	o, wait, ok = book.Next(now, w.target.Incarnation())
	if ok {
		entry = book.BeginSend(o)
		t.duties.orders++
	}
	return o, entry, wait, ok
}

// sendOrder sends an order and records its outcome.
func (t *Term) sendOrder(ctx context.Context, w *worker, o fulmarorder.Order, entry fulmarledger.GrantID) {
	timeout := grantTimeout
	if o.Kind == fulmarorder.Release && !o.AfterGrants {
		timeout = releaseTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	began := t.deps.Now()
	reply, err := t.deps.Orders.Send(callCtx, w.target.Address, o)
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
	changed := book.EndSend(now, o, entry, reply, err)
	if err != nil || changed || o.AfterGrants {
		t.deps.Log.Info("order to target completed or failed", "kind", o.Kind.String(), "target", o.Incarnation.ID, "from", o.From, "to", o.To,
			"fence", o.Fence, "hold", o.TTL, "after_grants", o.AfterGrants, "connection", reply.Connection, "certain", reply.Certain, "took", now.Sub(began), "error", err)
	}
	if changed {
		t.requestPublish()
	}
	if o.Kind == fulmarorder.Release && (err == nil || errors.Is(err, fulmarorder.ErrTargetEnded)) {
		t.wakeWorkers()
	} else if o.Kind == fulmarorder.Release {
		w.wake() // other releases may have waited for the end of this one
	}
}

// replaced reports whether a different process with the target's id is listed, which may have received earlier grants.
// The caller holds mu.
func (t *Term) replaced(target fulmarcatalog.Target) bool {
	listed, ok := t.snapshot.Catalog.Target(target.ID)
	return ok && (listed.Born != target.Born || listed.Address != target.Address)
}
