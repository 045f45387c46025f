package fulmarforwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// Results of a hedge in the log.
const (
	hedgeWon  = "won"  // the second target answered first
	hedgeLost = "lost" // the first target answered first, or none did
)

// Reasons why a late request is not hedged, besides the verdicts of fulmarhedge. They are part of a metric's name.
const (
	withheldTarget = "target" // no target that the request was not sent to has room, or the owner of its key has none
	withheldBudget = "budget" // the retry limit of the fleet is reached
)

// mayBeHedged reports whether the request is sent to a second target if the answer of the first one is late. Answers of
// LargeAnswer are excluded, as two of them take the bandwidth of the daemon twice.
func (x *exchange) mayBeHedged() bool {
	return x.forwarder.deps.Hedger.Enabled() && x.route.Kind == fulmarroute.Idempotent && x.route.Attempts >= 2 &&
		x.sends == 0 && x.dials == 0 && x.request.Payload.Complete()
}

// sendHedged sends the request and, if its answer is late, sends it a second time. The first complete answer counts, but one that
// states a failure only if the other target has none. The send that is still under way then is cancelled.
func (x *exchange) sendHedged(ctx context.Context, first *sending) (*fulmarhttpserver.Answer, result) {
	hedger, now := x.forwarder.deps.Hedger, x.forwarder.deps.Now
	hedger.RecordRequest()
	var late <-chan time.Time
	if delay, ok := hedger.Delay(x.route.Name); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		late = timer.C
	}
	done := make(chan *sending, 2) // has room for both, so that no send waits for its outcome to be read
	x.startSending(ctx, first, done)
	pending := []*sending{first}
	var failure *fulmarhttpserver.Answer
	failedAt, worst := "", unsent
	for len(pending) > 0 {
		select {
		case <-late:
			late = nil
			if len(done) > 0 || ctx.Err() != nil {
				continue // the answer has come, or the caller has left, in the meantime
			}
			if s := x.newHedge(ctx); s != nil {
				x.startSending(ctx, s, done)
				pending = append(pending, s)
			}
		case s := <-done:
			late = nil
			pending = slices.DeleteFunc(pending, func(p *sending) bool { return p == s })
			a, res := x.finishSending(ctx, s)
			switch {
			case res != delivered:
				worst = worseOf(worst, res)
			case a.Status >= http.StatusInternalServerError && a.Remainder == nil && len(pending) > 0:
				failure, failedAt = a, x.target
			default:
				if a.Status < http.StatusInternalServerError {
					hedger.RecordAnswer(x.route.Name, now().Sub(first.started))
				}
				x.endHedge(s != first && a.Status < http.StatusInternalServerError)
				x.abandon(pending, done)
				return a, delivered
			}
		}
	}
	x.endHedge(false)
	if failure != nil {
		x.target, x.bytes, x.lastError = failedAt, int64(len(failure.Body)), nil
		return failure, delivered
	}
	return nil, worst
}

// worseOf returns the result that says less about what targets have not done.
func worseOf(a, b result) result {
	if a == broken || b == broken {
		return broken
	}
	if a == notRun || b == notRun {
		return notRun
	}
	return b
}

// startSending starts a send, whose outcome is written to done. It can be cancelled by itself until its answer has been returned.
func (x *exchange) startSending(ctx context.Context, s *sending, done chan<- *sending) {
	ctx, s.cancel = context.WithCancel(ctx)
	go func() {
		x.exchangeWith(ctx, s)
		done <- s
	}()
}

// abandon cancels sends whose answers are no longer needed, and takes their ends into account without keeping the caller
// waiting.
func (x *exchange) abandon(list []*sending, done <-chan *sending) {
	d := &x.forwarder.deps
	for _, s := range list {
		x.sends++
		x.recordStatement(statement{target: s.target.ID})
		d.Metrics.Count("hedge.cancelled")
		s.cancel()
		go func() {
			<-done
			if s.answer != nil && s.answer.Remainder != nil {
				s.answer.Remainder.Close()
			}
			d.Balancer.RecordAbandoned(s.target.ID, d.Now().Sub(s.started))
			x.release(s)
		}()
	}
}

// newHedge prepares the second send of a late request, or returns nil and counts why there is none.
func (x *exchange) newHedge(ctx context.Context) *sending {
	d := &x.forwarder.deps
	now := d.Now()
	if x.isCondemned() {
		return nil
	}
	if v := d.Hedger.Take(now, x.route.Name, x.service.Name, time.Until(x.deadline)); v != fulmarhedge.Permitted {
		d.Metrics.Count("hedge.withheld_" + string(v))
		return nil
	}
	firstTarget := x.target
	s, reason := x.prepareHedge(ctx, now)
	if s == nil {
		x.target = firstTarget
		d.Hedger.Return()
		d.Metrics.Count("hedge.withheld_" + reason)
		return nil
	}
	x.hedged = hedgeLost
	d.Metrics.Count("hedge.sent")
	return s
}

// prepareHedge is newHedge for a late request whose hedge the operator's limit permits. Without a send, it returns the reason.
func (x *exchange) prepareHedge(ctx context.Context, now time.Time) (s *sending, reason string) {
	d := &x.forwarder.deps
	t, ok := x.chooseHedge(ctx)
	if !ok {
		return nil, withheldTarget
	}
	body, err := x.request.Payload.Open()
	if err != nil {
		d.Balancer.Release(t.ID)
		return nil, string(fulmarhedge.TooLate)
	}
	if !d.RetryBudget.AllowRetry(now, x.service.Name, x.view.Daemons) {
		body.Close()
		d.Balancer.Release(t.ID)
		return nil, withheldBudget
	}
	if s, ok = x.newSending(t, body); !ok {
		return nil, string(fulmarhedge.TooLate)
	}
	return s, ""
}

// chooseHedge returns a target with a free slot for the second send of a late request, and counts the request as in flight there.
// A request with a key can only go to the owner once more, over another connection, which helps if its answer was lost.
func (x *exchange) chooseHedge(ctx context.Context) (t fulmarcatalog.Target, ok bool) {
	d := &x.forwarder.deps
	x.view = d.Views.Get()
	if x.key >= 0 {
		t, ok = x.ownerOfHedge()
	} else {
		var reason Reason
		t, reason = x.chooseAmong(false)
		ok = reason == ""
	}
	if !ok {
		return t, false
	}
	// A request for a permit would let an answer wait that comes meanwhile, and take the permit of another one.
	_, limited := d.Limits.Rate(t.ID)
	if limited || t.IsWarmingUp(d.Clock()) || x.isCold(t, d.Clock()) || !d.Balancer.HasFreeSlot(d.Now(), fulmarbalancer.Candidate{ID: t.ID, Slots: t.Slots}) {
		d.Balancer.Release(t.ID)
		return t, false
	}
	return t, x.admit(ctx, t, 0) == ""
}

// ownerOfHedge returns the owner of the request's key and counts the request as in flight there, unless requests for the key are
// bounded or it is being moved.
func (x *exchange) ownerOfHedge() (t fulmarcatalog.Target, ok bool) {
	d := &x.forwarder.deps
	span, ok := x.view.Owners[x.service.Name].Find(x.key)
	if !ok || !span.Ready || span.Bounded {
		return t, false
	}
	x.span = span
	t, ok = x.view.Catalog.Target(span.Target)
	if !ok || !x.acceptsDeparting(t, d.Notices.Get(t.Incarnation())) || !d.Balancer.Acquire(t.ID, maxInFlightPerTarget) {
		return t, false
	}
	return t, true
}

// endHedge records the outcome of a hedge, if there was one.
func (x *exchange) endHedge(won bool) {
	if x.hedged == "" {
		return
	}
	if won {
		x.hedged = hedgeWon
	}
	x.forwarder.deps.Metrics.Count("hedge." + x.hedged)
}
