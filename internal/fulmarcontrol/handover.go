package fulmarcontrol

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

func holderName(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

func parseHolder(name string) (id string, incarnation uint64, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(name[i+1:], 10, 64)
	return name[:i], incarnation, err == nil
}

// considerHandover gives the target to a daemon that ranks better, at once if
// this daemon is leaving, else after the rank has settled.
func (k *keeper) considerHandover(ctx context.Context, t fulmarslot.Target) {
	if k.dispatcher == nil || k.lost || k.contested || len(k.stopping) > 0 {
		return
	}
	now := time.Now()
	k.c.mu.Lock()
	next, ok := k.c.firstFor(t, now)
	leaving := k.c.leaving
	p := k.c.peers[next]
	k.c.mu.Unlock()
	if !ok || p == nil {
		k.betterSince = time.Time{}
		return
	}
	if k.betterSince.IsZero() {
		k.betterSince = now
	}
	if leaving || now.Sub(k.betterSince) >= rankSettle {
		k.handOver(ctx, p)
	}
}

// handOver stops admission, waits a little for work in flight, and offers the
// target with its request memory. Work that takes longer goes on: the target
// finishes it under the new term, and the former dispatcher answers it.
func (k *keeper) handOver(ctx context.Context, p *peer) {
	idle := k.dispatcher.StopAll()
	timer := time.NewTimer(handoverDrain)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
		k.c.Counter.Count("handover_with_work")
	case <-ctx.Done():
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	k.c.mu.Lock()
	epoch := k.c.table.Epoch()
	k.c.mu.Unlock()
	reply, err := p.bulk.Handover(callCtx, &fulmarwire.Handover{
		Target: k.id, Term: k.term, Epoch: epoch, Snapshot: k.dispatcher.Export(k.admitted),
	})
	if err == nil && reply.Accepted {
		k.c.Log.Info("target handed over", "target", k.id, "to", p.ID)
		k.c.mu.Lock()
		k.c.learned[k.id] = p.ID
		k.c.mu.Unlock()
		k.stepDown(fulmaroutcome.NotHolder)
		return
	}
	if err != nil {
		k.c.Log.Warn("handover failed", "target", k.id, "to", p.ID, "error", err)
	} else {
		k.c.Log.Info("handover refused", "target", k.id, "to", p.ID, "reason", reply.Reason)
	}
	k.betterSince = time.Now()
	k.contested = true
}

// reclaim takes a target back after a handover whose outcome is open. Both
// daemons try for the same next term, of which the target accepts one holder:
// either the offered memory is in use and this daemon steps down, or it never
// will be and this daemon may admit work again.
func (k *keeper) reclaim(ctx context.Context, t fulmarslot.Target) {
	g, owned, ok := k.grantNow(k.term+1, k.stamp, k.stampAt)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	state, err := k.c.Targets.Grant(callCtx, t.Address, g)
	received := time.Now()
	var refused *fulmargrant.RefusedError
	switch {
	case errors.As(err, &refused):
		k.refused(state, refused, received)
	case err != nil && ctx.Err() == nil:
		k.failed(err)
	case err == nil:
		k.contested, k.failures = false, 0
		k.term, k.stamp, k.stampAt = g.Term, state.Stamp, received
		k.dispatcher.Open(k.term, state.Capacity, owned)
		k.dispatcher.Resume(nil)
		clear(k.stopping)
		clear(k.transferred)
		k.inForce(ctx, t, g, owned)
	}
}

// accept passes an offer to the keeper's goroutine and returns the reason of
// a refusal, or an empty string.
func (k *keeper) accept(ctx context.Context, h *fulmarwire.Handover) string {
	o := offer{handover: h, result: make(chan string, 1)}
	select {
	case k.offers <- o:
	case <-ctx.Done():
		return "timeout"
	}
	select {
	case reason := <-o.result:
		return reason
	case <-ctx.Done():
		return "timeout"
	}
}

func (k *keeper) takeOffer(ctx context.Context, h *fulmarwire.Handover) string {
	k.c.mu.Lock()
	t, ok := k.c.table.Target(k.id)
	behind := k.c.table.Epoch() < h.Epoch
	k.c.mu.Unlock()
	switch {
	case !ok || !t.Fenced:
		return "not a fenced target of the table"
	case behind:
		return "table is behind"
	case k.dispatcher != nil:
		return "held already"
	}
	return k.acquire(ctx, t, h)
}
