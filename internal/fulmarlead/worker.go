package fulmarlead

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
	// releaseTimeout covers the longest requests that may run on the keys.
	releaseTimeout = 4 * time.Second
)

// worker sends the orders of one target.
type worker struct {
	target fulmarcatalog.Target
	seen   time.Time // when the target was last listed
	ring   chan struct{}
	cancel context.CancelFunc
}

func (w *worker) wake() {
	select {
	case w.ring <- struct{}{}:
	default:
	}
}

// staff starts a worker for each target of a keyed service and ends those of targets long gone; mu is held.
func (t *Term) staff(now time.Time) {
	for _, target := range t.snapshot.Catalog.Targets() {
		if t.shards[target.Service] == nil {
			continue
		}
		life := target.Incarnation()
		if w := t.workers[life]; w != nil {
			w.seen = now
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		w := &worker{target: target, seen: now, ring: make(chan struct{}, 1), cancel: cancel}
		t.workers[life] = w
		t.group.Go(func() { t.work(ctx, w) })
	}
	for life, w := range t.workers {
		if now.Sub(w.seen) > farewell {
			w.cancel()
			delete(t.workers, life)
		}
	}
}

// dismiss ends all workers.
func (t *Term) dismiss() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.workers {
		w.cancel()
	}
}

// work sends the orders that are due for one target.
func (t *Term) work(ctx context.Context, w *worker) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		order, entry, wait, ok := t.next(w)
		if ok {
			if order.Kind == fulmarorder.Release {
				t.group.Go(func() { t.send(ctx, w, order, entry) })
			} else {
				t.send(ctx, w, order, entry)
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-w.ring:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// next returns the order that is due now and marks it as being sent.
func (t *Term) next(w *worker) (o fulmarorder.Order, entry fulmarledger.GrantID, wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if !now.Before(t.valid) {
		return o, 0, retry, false
	}
	book := t.shards[w.target.Service].book
	o, wait, ok = book.Next(now, w.target.Incarnation())
	if ok {
		entry = book.BeginSend(o)
	}
	return o, entry, wait, ok
}

// send sends an order and records how it ended.
func (t *Term) send(ctx context.Context, w *worker, o fulmarorder.Order, entry fulmarledger.GrantID) {
	timeout := grantTimeout
	if o.Kind == fulmarorder.Release {
		timeout = releaseTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	began := t.deps.Now()
	handover, err := t.deps.Orders.Send(callCtx, w.target.Address, o)
	cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	if errors.Is(err, fulmarorder.ErrMisdirected) && !t.moved(w.target) {
		// An address is given to another target only after its former one has ended.
		err = errors.Wrap(fulmarorder.ErrTargetEnded, err.Error())
	}
	book := t.shards[w.target.Service].book
	changed := book.EndSend(now, o, entry, handover, err)
	if err != nil || changed {
		t.deps.Log.Info("order", "kind", o.Kind.String(), "target", o.Incarnation.ID, "from", o.From, "to", o.To,
			"fence", o.Fence, "hold", o.TTL, "took", now.Sub(began), "error", err)
	}
	if changed {
		t.announce()
	}
	if o.Kind == fulmarorder.Release && (err == nil || errors.Is(err, fulmarorder.ErrTargetEnded)) {
		t.wake()
	}
}

// moved reports whether another life with the target's id is listed, to which earlier grants may have gone; mu is held.
func (t *Term) moved(target fulmarcatalog.Target) bool {
	listed, ok := t.snapshot.Catalog.Target(target.ID)
	return ok && (listed.Born != target.Born || listed.Address != target.Address)
}
