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

// formatHolder returns the name under which an incarnation of a daemon holds grants.
func formatHolder(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

// parseHolder splits a name returned by formatHolder; ok is false if it is malformed.
func parseHolder(name string) (id string, incarnation uint64, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(name[i+1:], 10, 64)
	return name[:i], incarnation, err == nil
}

// handOverIfOutranked hands the target over to a daemon that ranks before this one:
// at once if this daemon is leaving, otherwise after rankSettleTime.
func (m *grantManager) handOverIfOutranked(ctx context.Context, t fulmarslot.Target) {
	if m.dispatcher == nil || m.targetLost || m.handoverUnresolved || len(m.stoppingSlots) > 0 {
		return
	}
	now := time.Now()
	m.c.mu.Lock()
	preferred, ok := m.c.preferredDispatcher(t, now)
	leaving := m.c.leaving
	p := m.c.peers[preferred]
	m.c.mu.Unlock()
	if !ok || p == nil {
		m.outrankedSince = time.Time{}
		return
	}
	if m.outrankedSince.IsZero() {
		m.outrankedSince = now
	}
	if leaving || now.Sub(m.outrankedSince) >= rankSettleTime {
		m.handOver(ctx, p)
	}
}

// handOver stops admission, waits up to handoverDrainTimeout for work in flight, and
// offers the target with its deduplication records to the peer. Work that takes longer
// continues: the target finishes it under the new term, and this dispatcher answers it.
func (m *grantManager) handOver(ctx context.Context, p *peer) {
	idle := m.dispatcher.StopAll()
	timer := time.NewTimer(handoverDrainTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
		m.c.Counter.Count("handover_with_work")
	case <-ctx.Done():
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	m.c.mu.Lock()
	epoch := m.c.table.Epoch()
	m.c.mu.Unlock()
	reply, err := p.bulkClient.Handover(callCtx, &fulmarwire.Handover{
		Target: m.id, Term: m.term, Epoch: epoch, Snapshot: m.dispatcher.Export(m.admittedSlots),
	})
	if err == nil && reply.Accepted {
		m.c.Log.Info("target handed over", "target", m.id, "to", p.ID)
		m.c.mu.Lock()
		m.c.holderHints[m.id] = p.ID
		m.c.mu.Unlock()
		m.stepDown(fulmaroutcome.NotHolder)
		return
	}
	if err != nil {
		m.c.Log.Warn("handover failed", "target", m.id, "to", p.ID, "error", err)
	} else {
		m.c.Log.Info("handover refused", "target", m.id, "to", p.ID, "reason", reply.Reason)
	}
	m.outrankedSince = time.Now()
	m.handoverUnresolved = true
}

// resolveHandover tries to take the target back after a handover whose outcome is
// unknown. Both daemons request the same next term, for which the target accepts only
// one holder. Either the other daemon is the holder and uses the offered records, and
// this daemon steps down, or the offer can no longer be used and this daemon admits
// work again.
func (m *grantManager) resolveHandover(ctx context.Context, t fulmarslot.Target) {
	g, owned, ok := m.prepareGrant(m.term+1, m.stamp, m.stampReceived)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	state, err := m.c.Targets.Grant(callCtx, t.Address, g)
	received := time.Now()
	var refused *fulmargrant.RefusedError
	switch {
	case errors.As(err, &refused):
		m.handleRefusal(state, refused, received)
	case err != nil && ctx.Err() == nil:
		m.handleFailedCall(err)
	case err == nil:
		m.handoverUnresolved, m.failedCalls = false, 0
		m.term, m.stamp, m.stampReceived = g.Term, state.Stamp, received
		m.dispatcher.Open(m.term, state.Capacity, owned)
		m.dispatcher.Resume(nil)
		clear(m.stoppingSlots)
		clear(m.transferredMoves)
		m.applyAcceptedGrant(ctx, t, g, owned)
	}
}

// offerHandover passes an offer to the manager's goroutine and returns the reason of a
// refusal, or an empty string.
func (m *grantManager) offerHandover(ctx context.Context, h *fulmarwire.Handover) string {
	o := handoverOffer{handover: h, result: make(chan string, 1)}
	select {
	case m.handovers <- o:
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

// acceptHandover takes the target over as offered and returns the reason of a refusal,
// or an empty string.
func (m *grantManager) acceptHandover(ctx context.Context, h *fulmarwire.Handover) string {
	m.c.mu.Lock()
	t, ok := m.c.table.Target(m.id)
	behind := m.c.table.Epoch() < h.Epoch
	m.c.mu.Unlock()
	switch {
	case !ok || !t.Fenced:
		return "not a fenced target of the table"
	case behind:
		return "table is behind"
	case m.dispatcher != nil:
		return "held already"
	}
	return m.acquire(ctx, t, h)
}
