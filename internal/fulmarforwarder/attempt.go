package fulmarforwarder

import (
	"context"
	"iter"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	lastKey = fulmarrange.MaxKey
	// retryAfter is the Retry-After value of refused requests, for which there is no better estimate.
	retryAfter = 150 * time.Millisecond
	// maxInFlightPerTarget limits the requests of one daemon in flight at one target. Targets execute few requests
	// concurrently, and requests that do not fit into their queue are rejected or lost.
	maxInFlightPerTarget = 4
	// idleConnectionShare is the share of a target's connection limit that all daemons together may keep idle.
	idleConnectionShare = 0.7
	// maxDialFailures limits the targets that cannot be reached before a request is refused.
	maxDialFailures = 3
)

// result is the result of one send.
type result int

const (
	delivered result = iota // the target returned a complete answer
	notRun                  // the target stated that it did not execute the request
	unsent                  // no byte was sent
	noRoom                  // no byte was sent, as the target accepts no more connections
	broken                  // sent, but no complete answer received
)

// sendUntilAnswered sends the request until a target answers or no further send is allowed.
func (x *exchange) sendUntilAnswered(ctx context.Context) *fulmarhttpserver.Answer {
	last := NoCapacity
	if errors.Is(ctx.Err(), context.Canceled) {
		return x.refuseOrFail(cancelReason(ctx)) // a send would count as one that may have run
	}
	for {
		body, err := x.request.Payload.Open()
		if err != nil {
			return x.refuseOrFail(last) // a send without the part of the body that is gone would be another request
		}
		if x.isCondemned() {
			return x.refuseOrFail(Crashes)
		}
		target, reason := x.choose(ctx)
		if reason != "" {
			if x.sends > 0 && reason != Paused { // a pause tells when to come again
				reason = last
			}
			return x.refuseOrFail(reason)
		}
		if x.sends > 0 && !x.forwarder.deps.RetryBudget.AllowRetry(x.forwarder.deps.Now(), x.service.Name, x.view.Daemons) {
			x.forwarder.deps.Balancer.Release(target.ID)
			x.forwarder.deps.Metrics.Count("relay.retry_denied")
			return x.refuseOrFail(last)
		}
		if x.sends > 0 || x.dials > 0 {
			x.forwarder.deps.Metrics.Count("relay.retry_" + metricLabel(last))
		}
		answer, res := x.send(ctx, target, body)
		if res == delivered {
			return answer
		}
		if last, answer = x.afterFailure(ctx, target, res); answer != nil {
			return answer
		}
		if ctx.Err() != nil {
			return x.refuseOrFail(last)
		}
	}
}

// afterFailure returns why a send to target got no answer, and the answer to the caller unless the request may be sent
// again.
func (x *exchange) afterFailure(ctx context.Context, target fulmarcatalog.Target, res result) (Reason, *fulmarhttpserver.Answer) {
	switch res {
	case unsent:
		if x.dials++; x.dials >= maxDialFailures {
			return Unsent, x.refuseOrFail(Unsent)
		}
		return Unsent, nil
	case noRoom:
		if x.dials++; x.dials >= maxDialFailures || x.key >= 0 {
			// Only the owner may have a key's requests, and it will not have room within the wait for another owner.
			return NoCapacity, x.refuseOrFail(NoCapacity)
		}
		return NoCapacity, nil
	case notRun:
		if x.sends >= x.route.Attempts || x.key >= 0 && !x.mayRepeatAtOwner(target) {
			return Rejected, x.refuseOrFail(Rejected)
		}
		return Rejected, nil
	}
	x.mayHaveRun = true
	if errors.Is(ctx.Err(), context.Canceled) {
		return Broken, x.fail(http.StatusGatewayTimeout, cancelReason(ctx))
	}
	if ctx.Err() != nil {
		return Broken, x.fail(http.StatusGatewayTimeout, TimedOut)
	}
	if !x.route.Kind.Repeatable() || x.sends >= x.route.Attempts {
		return Broken, x.fail(http.StatusBadGateway, Broken)
	}
	if x.key >= 0 {
		delete(x.tried, target.ID) // no other target has the key
	}
	return Broken, nil
}

// refuseOrFail answers a request that no target answered. It refuses the request, which states that it was not
// executed, only if no target may have executed it.
func (x *exchange) refuseOrFail(reason Reason) *fulmarhttpserver.Answer {
	if x.mayHaveRun {
		return x.fail(http.StatusBadGateway, Broken)
	}
	return x.refuse(reason)
}

// choose returns a target below its limit and counts the request as in flight there, or returns the reason why there is
// none.
func (x *exchange) choose(ctx context.Context) (fulmarcatalog.Target, Reason) {
	if x.key >= 0 {
		return x.awaitOwner(ctx)
	}
	// A send may have taken seconds, in which targets have left.
	x.view = x.forwarder.deps.Views.Get()
	for began := x.forwarder.deps.Now(); ; {
		t, reason := x.chooseTarget(ctx)
		if reason != "" {
			return t, reason
		}
		if reason = x.admit(ctx, t, 0); reason == "" {
			return t, ""
		}
		if x.forwarder.deps.Now().Sub(began) >= x.route.LatencyObjective/waitDivisor {
			return t, reason
		}
	}
}

// chooseByLoad returns the cheapest target below its limit of requests in flight and counts the request as in flight
// there. Targets that leave or are evacuated are used if there are no others.
func (x *exchange) chooseByLoad() (fulmarcatalog.Target, Reason) {
	if t, ok := x.chooseNewcomer(); ok {
		return t, ""
	}
	for _, departing := range []bool{false, true} {
		if t, reason := x.chooseAmong(departing); reason != NoTarget {
			return t, reason
		}
	}
	return fulmarcatalog.Target{}, x.noTargetReason()
}

// chooseAmong is chooseByLoad for the targets that depart, or for those that do not.
func (x *exchange) chooseAmong(departing bool) (fulmarcatalog.Target, Reason) {
	d := &x.forwarder.deps
	var usable []fulmarcatalog.Target // those that were compared
	i := d.Balancer.Choose(d.Now(), func(yield func(fulmarbalancer.Candidate) bool) {
		clock := d.Clock()
		for t := range x.usableTargets(clock, departing) {
			usable = append(usable, t)
			_, limited := d.Limits.Rate(t.ID)
			if !yield(fulmarbalancer.Candidate{
				ID: t.ID, Slots: t.Slots, Remote: t.DC != d.DC, Cold: t.IsWarmingUp(clock), InNeed: limited,
			}) {
				return
			}
		}
	}, maxInFlightPerTarget)
	if len(usable) == 0 {
		return fulmarcatalog.Target{}, NoTarget
	}
	if i < 0 || !d.Balancer.Acquire(usable[i].ID, maxInFlightPerTarget) {
		return fulmarcatalog.Target{}, NoCapacity
	}
	return usable[i], ""
}

// usableTargets returns the targets that may get a request without a key, in the order of preference: those that depart, as they
// leave or are evacuated, and still accept requests, or those that do not.
func (x *exchange) usableTargets(clock time.Time, departing bool) iter.Seq[fulmarcatalog.Target] {
	return func(yield func(fulmarcatalog.Target) bool) {
		preferred := x.forwarder.preferences.of(x.view.Catalog, x.service.Name)
		for i, t := range preferred.targets {
			notice := preferred.notice(i)
			if left := notice.PauseLeft(clock); left > 0 {
				x.recordRefusal(t.ID, Paused, left)
				continue
			}
			departs := t.Leaving || t.Evacuated || notice.IsLeaving()
			if x.tried[t.ID] || x.notAdmitted[t.ID] != "" || x.coldRefusals >= maxColdRefusals && x.isCold(t, clock) || departs != departing || departing && !x.acceptsDeparting(t, notice) {
				continue
			}
			if !yield(t) {
				return
			}
		}
	}
}

// awaitOwner returns the target that owns the request's key and counts the request as in flight there. While the key
// has no ready owner, for example during a move, it waits for a part of the request's time.
func (x *exchange) awaitOwner(ctx context.Context) (fulmarcatalog.Target, Reason) {
	d := &x.forwarder.deps
	ownerTimeout := time.NewTimer(min(x.route.LatencyObjective/3, time.Until(x.deadline)/2))
	defer ownerTimeout.Stop()
	for {
		view, changed := d.Views.Watch()
		x.view = view
		span, ok := view.Owners[x.service.Name].Find(x.key)
		x.span = span
		if ok && span.Ready {
			if t, known := view.Catalog.Target(span.Target); known {
				if reason, decided := x.tryOwner(ctx, t); decided {
					return t, reason
				}
			}
		}
		if len(view.Catalog.Service(x.service.Name)) == 0 {
			return fulmarcatalog.Target{}, NoTarget // no target could become the owner
		}
		select {
		case <-changed:
		case <-ownerTimeout.C:
			return fulmarcatalog.Target{}, NoOwner
		case <-ctx.Done():
			return fulmarcatalog.Target{}, NoOwner
		}
	}
}

// tryOwner counts the request as in flight at the owner of its key, or returns the reason why it may not be sent there. If
// decided is false, the key may get another owner.
func (x *exchange) tryOwner(ctx context.Context, t fulmarcatalog.Target) (reason Reason, decided bool) {
	d := &x.forwarder.deps
	notice := d.Notices.Get(t.Incarnation())
	if left := notice.PauseLeft(d.Clock()); left > 0 {
		x.recordRefusal(t.ID, Paused, left)
		return Paused, true
	}
	if x.tried[t.ID] {
		return "", false
	}
	if !x.acceptsDeparting(t, notice) {
		return x.departureReason(t)
	}
	if !d.Balancer.Acquire(t.ID, maxInFlightPerTarget) {
		return NoCapacity, true
	}
	reason = x.admit(ctx, t, x.maxPermitWait())
	return reason, true
}

// isHotKey reports whether the key loads its target nearly alone, and so has a span of its own. All daemons connect to its target.
func (x *exchange) isHotKey() bool { return x.key >= 0 && x.span.From == x.span.To }

// maxIdleConnections returns this daemon's part of the idle connections to a target of the service, 0 for no limit.
func (x *exchange) maxIdleConnections() int {
	if x.service.Connections <= 0 {
		return 0
	}
	return max(1, int(idleConnectionShare*float64(x.service.Connections))/x.view.Daemons)
}
