package fulmaradmission

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbatch"
	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrotation"
)

const (
	// maxPending bounds the requests that wait for an answer of the leader.
	maxPending = 512
	// callTimeout bounds a call of the leader; an answer takes some milliseconds.
	callTimeout = 150 * time.Millisecond
	// failureBackoff is the time after a failed call in which the leader is not asked again, so that requests do not wait
	// for a leader that does not answer.
	failureBackoff = 250 * time.Millisecond
	// raisedRate is the ratio of limits from which the leader is asked again before the time that it has said.
	raisedRate = 1.1
	// pausePerDaemon is the pause after a call for each daemon of the fleet. It bounds the calls that the leader gets.
	pausePerDaemon = 100 * time.Microsecond
)

// Leader dispenses permits.
type Leader interface {
	// AskPermits returns a permit for each one that r asks for.
	AskPermits(ctx context.Context, r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error)
}

// Metrics counts events.
type Metrics interface {
	Count(name string)
}

// Deps holds the dependencies of a Gate.
type Deps struct {
	Limits    *fulmarlimit.Board // limits that targets have stated, which the leader is told
	Rates     fulmarrate.Source  // of permits
	ColdRates fulmarrate.Source  // those of Rates that are due to coldness, which the leader is told
	TurnRates fulmarrate.Source  // those that daemons without a leader divide into turns
	Leader    Leader
	Rotation  *fulmarrotation.Rotation
	Daemons   func() int // number of daemons of the fleet
	Metrics   Metrics
	Log       *slog.Logger
	Now       func() time.Time // the clock of the board
}

// pending is a request that waits for a permit.
type pending struct {
	fulmarpermit.Request
	answer chan fulmarleaderrpc.Permit // has room for the answer
}

// refusalKey identifies the requests that a refusal applies to.
type refusalKey struct {
	target   string
	priority int
}

// refusal is the latest refusal of the leader.
type refusal struct {
	rate  float64   // limit of the target at that time
	until time.Time // no permit becomes available earlier
}

// Gate admits requests; it is safe for concurrent use.
type Gate struct {
	deps    Deps
	pending chan pending

	mu         sync.Mutex
	refusals   map[refusalKey]refusal
	retryAfter time.Time // the leader is not asked before
}

// New returns a gate. Requests are admitted while Run runs.
func New(d Deps) *Gate {
	return &Gate{deps: d, pending: make(chan pending, maxPending), refusals: make(map[refusalKey]refusal)}
}

// Admit waits for a permit to send a request and reports whether it may be sent now. It waits little longer than the
// request's MaxWait. Otherwise, retryAfter is the time in which no permit becomes available, zero if that is not known.
func (g *Gate) Admit(ctx context.Context, r fulmarpermit.Request) (retryAfter time.Duration, ok bool) {
	rate, limited := g.deps.Rates.Rate(r.Target)
	if !limited && !r.Bounded {
		return 0, true
	}
	now := g.deps.Now()
	if left, leaderless := g.known(now, r, rate); left > r.MaxWait {
		return left, false
	} else if leaderless {
		return 0, g.takeTurn(now, r.Target)
	}
	p := pending{r, make(chan fulmarleaderrpc.Permit, 1)}
	select {
	case g.pending <- p:
	default:
		g.deps.Metrics.Count("relay.permit_overflow")
		return 0, false
	}
	select {
	case permit := <-p.answer:
		if !permit.Granted {
			return permit.Wait, false
		}
		return 0, permit.Wait <= 0 || fulmarclock.Sleep(ctx, permit.Wait)
	case <-ctx.Done():
		return 0, false
	}
}

// known returns the time in which the leader has no permit for such a request, as far as it has said, and whether it does
// not answer.
func (g *Gate) known(now time.Time, request fulmarpermit.Request, rate float64) (left time.Duration, leaderless bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.refusals[refusalKey{request.Target, request.Priority}]; ok && rate <= r.rate*raisedRate {
		left = r.until.Sub(now)
	}
	return left, now.Before(g.retryAfter)
}

// takeTurn reports whether the daemon may send a request to target without a leader. What only the leader bounds is sent.
func (g *Gate) takeTurn(now time.Time, target string) bool {
	rate, limited := g.deps.TurnRates.Rate(target)
	if !limited {
		return true
	}
	ok := g.deps.Rotation.Take(now, target, rate, g.deps.Daemons())
	if ok {
		g.deps.Metrics.Count("relay.permit_turn")
	}
	return ok
}

// Run asks the leader for permits until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	for {
		select {
		case first := <-g.pending:
			g.ask(ctx, fulmarbatch.Collect(first, g.pending))
		case <-ctx.Done():
			return
		}
		if !fulmarclock.Sleep(ctx, time.Duration(g.deps.Daemons())*pausePerDaemon) {
			return
		}
	}
}

// ask asks the leader for permits and hands them out.
func (g *Gate) ask(ctx context.Context, list []pending) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	answer, err := g.deps.Leader.AskPermits(ctx, g.request(list))
	cancel()
	if err == nil && len(answer.Permits) != len(list) {
		err = errors.Errorf("fulmaradmission: %d permits for %d requests", len(answer.Permits), len(list))
	}
	now := g.deps.Now()
	if err != nil {
		g.deps.Metrics.Count("relay.permit_failed")
		g.deps.Log.Info("permits not received from leader", "requests", len(list), "error", err)
		g.mu.Lock()
		g.retryAfter = now.Add(failureBackoff)
		g.mu.Unlock()
		for _, p := range list {
			p.answer <- fulmarleaderrpc.Permit{Granted: g.takeTurn(now, p.Target)}
		}
		return
	}
	for i, permit := range answer.Permits {
		if !permit.Granted {
			g.recordRefusal(now, list[i].Request, permit.Wait)
		}
		list[i].answer <- permit
	}
}

// request returns the message that asks for the permits.
func (g *Gate) request(list []pending) *fulmarleaderrpc.PermitRequest {
	r := &fulmarleaderrpc.PermitRequest{Permits: make([]fulmarleaderrpc.PermitAsk, 0, len(list))}
	asked := make(map[string]bool, len(list))
	for _, p := range list {
		ask := fulmarleaderrpc.PermitAsk{Target: p.Target, MaxWait: p.MaxWait, Priority: p.Priority}
		if rate, cold := g.deps.ColdRates.Rate(p.Target); cold {
			ask.ColdRate = rate
		}
		r.Permits = append(r.Permits, ask)
		asked[p.Target] = true
	}
	now := g.deps.Now()
	for _, s := range g.deps.Limits.Statements() {
		if asked[s.Target] {
			r.Limits = append(r.Limits, fulmarleaderrpc.PackLimit(now, s))
		}
	}
	return r
}

// recordRefusal records that no permit for such a request becomes available before wait has passed.
func (g *Gate) recordRefusal(now time.Time, request fulmarpermit.Request, wait time.Duration) {
	rate, _ := g.deps.Rates.Rate(request.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals[refusalKey{request.Target, request.Priority}] = refusal{rate, now.Add(wait)}
}

// Retain drops the state of targets for which keep returns false.
func (g *Gate) Retain(keep func(target string) bool) {
	g.deps.Rotation.Retain(keep)
	g.mu.Lock()
	defer g.mu.Unlock()
	for key := range g.refusals {
		if !keep(key.target) {
			delete(g.refusals, key)
		}
	}
}
