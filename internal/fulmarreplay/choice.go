package fulmarreplay

import (
	"iter"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

// Figures of Choice; those of the router are in packages fulmarfrontdaemon and fulmarforwarder.
const (
	comparedTargets = 2
	dataCentres     = 4
)

// Choice sends requests without keys: each daemon chooses a target with a balancer of its own, as the router does.
type Choice struct {
	limit     int
	balancers []*fulmarbalancer.Balancer
	orders    [][]int // of each daemon: the targets in the order of its preference
	sentAt    map[*Request]time.Duration
}

// NewChoice returns an admission for the pattern in which each daemon has at most limit requests in flight at a target.
func NewChoice(p Pattern, limit int, seed uint64) *Choice {
	c := &Choice{limit: limit, sentAt: make(map[*Request]time.Duration)}
	random := rand.New(rand.NewPCG(seed, 2))
	for d := range p.Daemons {
		c.balancers = append(c.balancers, fulmarbalancer.New(comparedTargets, rand.NewPCG(seed, uint64(d)+3)))
		order := random.Perm(p.Targets)
		slices.SortStableFunc(order, func(a, b int) int { return remoteness(d, a) - remoteness(d, b) })
		c.orders = append(c.orders, order)
	}
	return c
}

// remoteness returns 0 if a daemon and a target are in the same data centre, and otherwise 1.
func remoteness(daemon, target int) int {
	if daemon%dataCentres == target%dataCentres {
		return 0
	}
	return 1
}

// Offer sends the request to the target that its daemon's balancer chooses, or refuses it.
func (c *Choice) Offer(s *Sim, r *Request) {
	order := c.orders[r.Daemon]
	b := c.balancers[r.Daemon]
	i := b.Choose(s.now(), c.candidates(s, r.Daemon, order), c.limit)
	if i < 0 || !b.Acquire(targetName(order[i]), c.limit) {
		s.Refuse(r)
		return
	}
	r.Target = order[i]
	c.sentAt[r] = s.Now()
	s.Send(r)
}

// candidates returns the targets as the balancer of a daemon compares them.
func (c *Choice) candidates(s *Sim, daemon int, order []int) iter.Seq[fulmarbalancer.Candidate] {
	return func(yield func(fulmarbalancer.Candidate) bool) {
		for _, t := range order {
			if !yield(fulmarbalancer.Candidate{ID: targetName(t), Slots: s.pattern.Slots, Remote: remoteness(daemon, t) > 0}) {
				return
			}
		}
	}
}

// Ended records the answer and the load that the target reports with it.
func (c *Choice) Ended(s *Sim, r *Request) {
	b, id, t := c.balancers[r.Daemon], targetName(r.Target), s.targets[r.Target]
	b.Release(id)
	took := s.Now() - c.sentAt[r]
	delete(c.sentAt, r)
	switch {
	case r.call.served:
		b.RecordServed(id, took)
	case r.call.abandoned:
		b.RecordAbandoned(id, took)
		return // without an answer
	default:
		b.RecordFailure(s.now(), id)
	}
	b.RecordLoad(s.now(), id, fulmarbalancer.Load{
		Running: len(t.running), Waiting: len(t.waiting), Slots: s.pattern.Slots, Slowdown: s.pattern.Noise.slowdown(r.Target, s.Now()),
	})
}

func targetName(i int) string { return strconv.Itoa(i) }
