package fulmarchooser

import (
	"context"
	"iter"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbatch"
	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplacement"
)

const (
	// maxPending bounds the requests that wait for an answer of the leader.
	maxPending = 256
	// maxWait is the longest time for which a request waits for an answer of the leader. An answer takes some milliseconds, and
	// a wait of the usual time of work for a slot costs more.
	maxWait = 25 * time.Millisecond
	// callTimeout bounds a call of the leader.
	callTimeout = 100 * time.Millisecond
	// failureBackoff is the time after a failed call in which the leader is not asked again.
	failureBackoff = 250 * time.Millisecond
	// stateInterval is the time after which changes are stated without a request that needs a target. Twice as much adds half
	// to the late answers of a load of 0.8 of what the targets can do.
	stateInterval = 50 * time.Millisecond
	// pausePerDaemon is the pause after a call for each daemon of the fleet. It bounds the calls that the leader gets.
	pausePerDaemon = 100 * time.Microsecond
)

// Leader is a connection to the leader.
type Leader interface {
	Place(ctx context.Context, r *fulmarleaderrpc.PlacementRequest) (*fulmarleaderrpc.PlacementAnswer, error)
	Close()
}

// Metrics counts events.
type Metrics interface {
	Count(name string)
}

// Deps holds the dependencies of a Chooser.
type Deps struct {
	ID, DC   string
	Views    *fulmarview.Holder
	Balancer *fulmarbalancer.Balancer // of this daemon
	Placer   *fulmarplacement.Placer  // used while this daemon leads
	Limits   *fulmarlimit.Board
	Notices  *fulmarnotice.Board
	// Leader returns the address of the leader, empty if none is known, and whether it is this daemon.
	Leader  func() (address string, self bool)
	Dial    func(ctx context.Context, address string) (Leader, error)
	Metrics Metrics
	Log     *slog.Logger
	Now     func() time.Time // the clock of the balancer
	Clock   func() time.Time // the clock that the times in views refer to
}

// pending is a request that waits for a target.
type pending struct {
	service string
	answer  chan string // has room for the answer
}

// Chooser chooses targets by asking the leader; it is safe for concurrent use.
type Chooser struct {
	deps    Deps
	pending chan pending

	mu       sync.Mutex
	services map[string]bool // whose targets share their machines with others
	retryAt  time.Time       // the leader is not asked before

	// Used by Run only.
	address string // of the leader, empty if none is known or this daemon leads
	self    bool   // this daemon leads
	leader  Leader // connection to the leader, nil without one
	stated  bool   // the leader knows of all requests in flight
}

// New returns a chooser. Requests get targets while Run runs.
func New(d Deps) *Chooser {
	return &Chooser{deps: d, pending: make(chan pending, maxPending), services: make(map[string]bool)}
}

// RecordSharing records that targets of a service share their machines with others.
func (c *Chooser) RecordSharing(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[service] = true
}

// Choose returns the target that the leader chooses for a request to the service. ok is false if it does not choose one in time.
func (c *Chooser) Choose(ctx context.Context, service string) (target string, ok bool) {
	if !c.asks(service) {
		return "", false
	}
	p := pending{service, make(chan string, 1)}
	select {
	case c.pending <- p:
	default:
		c.deps.Metrics.Count("place.overflow")
		return "", false
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case target = <-p.answer:
	case <-timer.C:
		c.deps.Metrics.Count("place.late")
	case <-ctx.Done():
	}
	return target, target != ""
}

// asks reports whether the leader is asked for targets of the service.
func (c *Chooser) asks(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services[service] && !c.deps.Now().Before(c.retryAt)
}

// Run asks the leader until ctx ends.
func (c *Chooser) Run(ctx context.Context) {
	defer c.close()
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		var list []pending
		select {
		case p := <-c.pending:
			list = fulmarbatch.Collect(p, c.pending)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.exchange(ctx, list)
		if !fulmarclock.Sleep(ctx, time.Duration(c.deps.Views.Get().Daemons)*pausePerDaemon) {
			return
		}
	}
}

// exchange states what has changed at the targets, and hands out the targets that the leader chooses.
func (c *Chooser) exchange(ctx context.Context, list []pending) {
	c.followLeader()
	now := c.deps.Now()
	r := &fulmarleaderrpc.PlacementRequest{Daemon: c.deps.ID, DC: c.deps.DC, Whole: !c.stated}
	for _, u := range c.deps.Balancer.TakeUses(r.Whole, c.isPlaced) {
		r.Uses = append(r.Uses, fulmarleaderrpc.PackUse(now, u))
	}
	for _, p := range list {
		r.Services = append(r.Services, p.service)
	}
	if len(r.Uses)+len(r.Services) == 0 {
		return
	}
	answer, err := c.call(ctx, r)
	if err == nil && len(answer.Targets) != len(list) {
		err = errors.Errorf("fulmarchooser: %d targets for %d requests", len(answer.Targets), len(list))
	}
	if c.stated = err == nil; !c.stated {
		c.deps.Metrics.Count("place.failed")
		c.deps.Log.Debug("targets not chosen by the leader", "requests", len(list), "error", err)
		c.mu.Lock()
		c.retryAt = c.deps.Now().Add(failureBackoff)
		c.mu.Unlock()
		for _, p := range list {
			p.answer <- ""
		}
		return
	}
	for i, target := range answer.Targets {
		if target != "" {
			c.deps.Balancer.Touch(target) // the leader has counted the request, which may be sent elsewhere after all
		}
		list[i].answer <- target
	}
}

// isPlaced reports whether the leader chooses the target for requests.
func (c *Chooser) isPlaced(target string) bool {
	t, ok := c.deps.Views.Get().Catalog.Target(target)
	c.mu.Lock()
	defer c.mu.Unlock()
	return ok && c.services[t.Service]
}

// call passes r to the leader, over the connection of the last call if there is one.
func (c *Chooser) call(ctx context.Context, r *fulmarleaderrpc.PlacementRequest) (*fulmarleaderrpc.PlacementAnswer, error) {
	if c.self {
		return c.place(r), nil
	}
	if c.address == "" {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.leader == nil {
		leader, err := c.deps.Dial(ctx, c.address)
		if err != nil {
			return nil, err
		}
		c.leader = leader
	}
	answer, err := c.leader.Place(ctx, r)
	if err != nil {
		c.close()
	}
	return answer, err
}

// followLeader takes over which daemon leads. Another leader than before knows nothing of this daemon.
func (c *Chooser) followLeader() {
	if address, self := c.deps.Leader(); address != c.address || self != c.self {
		c.close()
		c.address, c.self, c.stated = address, self, false
	}
}

// close closes the connection, if there is one.
func (c *Chooser) close() {
	if c.leader != nil {
		c.leader.Close()
	}
	c.leader = nil
}

// Place answers a daemon if this one leads; see fulmarleaderrpc.Handler.
func (c *Chooser) Place(_ context.Context, r *fulmarleaderrpc.PlacementRequest) (*fulmarleaderrpc.PlacementAnswer, error) {
	if _, self := c.deps.Leader(); !self {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	return c.place(r), nil
}

// place records what a daemon states and chooses targets for its requests.
func (c *Chooser) place(r *fulmarleaderrpc.PlacementRequest) *fulmarleaderrpc.PlacementAnswer {
	now := c.deps.Now()
	uses := make([]fulmarbalancer.Use, 0, len(r.Uses))
	for _, u := range r.Uses {
		uses = append(uses, u.Unpack(now))
	}
	c.deps.Placer.Record(now, r.Daemon, r.Whole, uses)
	out := &fulmarleaderrpc.PlacementAnswer{Targets: make([]string, 0, len(r.Services))}
	for _, service := range r.Services {
		target, _ := c.deps.Placer.Place(now, r.Daemon, c.candidates(service, r.DC))
		out.Targets = append(out.Targets, target)
	}
	return out
}

// candidates returns the targets of a service for a daemon in the data centre.
func (c *Chooser) candidates(service, dc string) iter.Seq[fulmarbalancer.Candidate] {
	return func(yield func(fulmarbalancer.Candidate) bool) {
		clock := c.deps.Clock()
		for _, t := range c.deps.Views.Get().Catalog.Service(service) {
			if notice := c.deps.Notices.Get(t.Incarnation()); t.Leaving || t.Evacuated || notice.IsLeaving() {
				continue
			}
			_, limited := c.deps.Limits.Rate(t.ID)
			if !yield(fulmarbalancer.Candidate{
				ID: t.ID, Slots: t.Slots, Remote: t.DC != dc, Cold: t.IsWarmingUp(clock), InNeed: limited,
			}) {
				return
			}
		}
	}
}
