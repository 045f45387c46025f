package fulmarrelay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserve"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpick"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	lastKey = fulmarrange.MaxKey
	// retryAfter is what callers are told when there is no better estimate.
	retryAfter = 150 * time.Millisecond
	// perTarget bounds the requests of one daemon in flight at one target. Targets run few requests at once,
	// and what is sent beyond their queue is turned away or lost.
	perTarget = 4
	// unusedShare is the part of the connections that a target accepts which all daemons together keep unused.
	unusedShare = 0.7
	// unsentTries bounds the targets that are dialled in vain for one request.
	unsentTries = 3
)

// result says how one send ended.
type result int

const (
	delivered result = iota // a complete answer of the target
	notRun                  // the target stated that it did not run the request
	unsent                  // no byte was sent
	broken                  // sent, without a complete answer
)

// attempts sends the request until it is answered or given up.
func (x *exchange) attempts(ctx context.Context) *fulmarserve.Answer {
	last := NoCapacity
	for dials := 0; ; {
		target, reason := x.choose(ctx)
		if reason != "" {
			if x.sends > 0 {
				reason = last
			}
			return x.giveUp(reason)
		}
		if x.sends > 0 && !x.relay.deps.RetryBudget.AllowRetry(x.relay.deps.Now(), x.service.Name, x.view.Daemons) {
			x.relay.deps.Balancer.Release(target.ID)
			x.relay.deps.Metrics.Count("relay.retry_denied")
			return x.giveUp(last)
		}
		if x.sends > 0 || dials > 0 {
			x.relay.deps.Metrics.Count("relay.retry_" + label(last))
		}
		answer, res := x.send(ctx, target)
		switch res {
		case delivered:
			return answer
		case unsent:
			last = Unsent
			if dials++; dials >= unsentTries {
				return x.giveUp(last)
			}
		case notRun:
			last = Rejected
			if x.sends >= x.route.Attempts {
				return x.giveUp(last)
			}
		case broken:
			last = Broken
			x.doubtful = true
			if errors.Is(ctx.Err(), context.Canceled) {
				return x.fail(http.StatusGatewayTimeout, CallerLeft)
			}
			if ctx.Err() != nil {
				return x.fail(http.StatusGatewayTimeout, TimedOut)
			}
			if !x.route.Idempotent || x.sends >= x.route.Attempts {
				return x.fail(http.StatusBadGateway, Broken)
			}
			if x.key >= 0 {
				delete(x.tried, target.ID) // no other target has the key
			}
		}
		if ctx.Err() != nil {
			return x.giveUp(last)
		}
	}
}

// giveUp answers a request that no target answered. It is refused as not run only if no target may have run it.
func (x *exchange) giveUp(reason Reason) *fulmarserve.Answer {
	if x.doubtful {
		return x.fail(http.StatusBadGateway, Broken)
	}
	return x.refuse(reason)
}

// choose returns a target with room and counts the request there, or the reason why there is none.
func (x *exchange) choose(ctx context.Context) (fulmarcatalog.Target, Reason) {
	if x.key >= 0 {
		return x.owner(ctx)
	}
	d := &x.relay.deps
	now, clock := d.Now(), d.Clock()
	targets := x.relay.near.targets(x.view.Catalog, x.service.Name)
	usable := make([]fulmarcatalog.Target, 0, len(targets))
	candidates := make([]fulmarpick.Candidate, 0, len(targets))
	for _, t := range targets {
		if t.Leaving || x.tried[t.ID] {
			continue
		}
		usable = append(usable, t)
		candidates = append(candidates, fulmarpick.Candidate{ID: t.ID, Slots: t.Slots, Remote: t.DC != d.DC, Cold: t.IsWarmingUp(clock)})
	}
	if len(usable) == 0 {
		return fulmarcatalog.Target{}, NoTarget
	}
	i := d.Balancer.Choose(now, candidates, perTarget)
	if i < 0 || !d.Balancer.Acquire(usable[i].ID, perTarget) {
		return fulmarcatalog.Target{}, NoCapacity
	}
	return usable[i], ""
}

// owner returns the target that holds the request's key; it waits a short time while the key moves.
func (x *exchange) owner(ctx context.Context) (fulmarcatalog.Target, Reason) {
	d := &x.relay.deps
	patience := time.NewTimer(min(x.route.LatencyObjective/3, time.Until(x.deadline)/2))
	defer patience.Stop()
	for {
		view, changed := d.Views.Watch()
		x.view = view
		span, ok := view.Owners[x.service.Name].Find(x.key)
		if ok && span.Ready {
			t, known := view.Catalog.Target(span.Target)
			if known && !x.tried[t.ID] && t.AcceptsRequests(d.Clock(), d.DrainTime()) {
				if !d.Balancer.Acquire(t.ID, perTarget) {
					return t, NoCapacity
				}
				return t, ""
			}
		}
		select {
		case <-changed:
		case <-patience.C:
			return fulmarcatalog.Target{}, NoOwner
		case <-ctx.Done():
			return fulmarcatalog.Target{}, NoOwner
		}
	}
}

// send exchanges the request with a target whose place was taken by choose.
func (x *exchange) send(ctx context.Context, t fulmarcatalog.Target) (*fulmarserve.Answer, result) {
	d := &x.relay.deps
	defer d.Balancer.Release(t.ID)
	x.target = t.ID
	if x.tried == nil {
		x.tried = make(map[string]bool, 2)
	}
	x.tried[t.ID] = true
	started := d.Now()
	left := time.Until(x.deadline).Milliseconds()
	if left <= 0 {
		return nil, unsent
	}
	header := fulmarlink.EndToEnd(x.request.Header)
	header[http.CanonicalHeaderKey(d.Names.Deadline)] = []string{strconv.FormatInt(left, 10)}
	header[http.CanonicalHeaderKey(d.Names.ExpectedTarget)] = []string{t.ID}
	a, err := d.Pool.Do(ctx, t.Address, &fulmarlink.Request{
		Method: x.request.Method, URI: x.request.RequestURI, Host: x.request.Host, Header: header,
		ID: x.id, Body: x.request.Payload.Reader(), Length: x.request.Payload.Length(), MaxIdle: x.unused(),
	})
	x.cause = err
	if errors.Is(err, fulmarlink.ErrUnsent) {
		d.Balancer.RecordFailure(d.Now(), t.ID)
		return nil, unsent
	}
	x.sends++
	if err != nil {
		if ctx.Err() == nil {
			d.Balancer.RecordFailure(d.Now(), t.ID)
		} else {
			d.Balancer.RecordAbandoned(t.ID, d.Now().Sub(started))
		}
		return nil, broken
	}
	now := d.Now()
	if load, ok := parseLoad(a.Header.Get(d.Names.Load)); ok {
		d.Balancer.RecordLoad(now, t.ID, load)
	}
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(d.Names.NotRun) != "" {
		if a.Remainder != nil {
			a.Remainder.Close()
		}
		d.Balancer.RecordFailure(now, t.ID)
		x.cause = errors.Errorf("status %d", a.Status)
		return nil, notRun
	}
	if a.Status < http.StatusMultipleChoices && a.Header.Get(d.Names.Signature) == "" {
		if a.Remainder != nil {
			a.Remainder.Close()
		}
		d.Balancer.RecordFailure(now, t.ID)
		x.cause = errors.Errorf("status %d without a signature", a.Status)
		return nil, broken
	}
	if a.Status < http.StatusInternalServerError {
		d.Balancer.RecordServed(t.ID, now.Sub(started))
	} else {
		d.Balancer.RecordFailure(now, t.ID)
	}
	return &fulmarserve.Answer{
		Status: a.Status, Header: fulmarlink.EndToEnd(a.Header), Body: a.Body, Remainder: a.Remainder, Length: a.Length,
	}, delivered
}

// unused returns the daemon's part of the unused connections that a target of the service can bear.
func (x *exchange) unused() int {
	if x.service.Connections <= 0 {
		return 0
	}
	return max(1, int(unusedShare*float64(x.service.Connections))/x.view.Daemons)
}

// parseLoad reads the load that a target reports: running, waiting and slots.
func parseLoad(text string) (fulmarpick.Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return fulmarpick.Load{}, false
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return fulmarpick.Load{}, false
		}
		n[i] = v
	}
	return fulmarpick.Load{Running: n[0], Waiting: n[1], Slots: n[2]}, true
}
