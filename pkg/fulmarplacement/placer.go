package fulmarplacement

import (
	"iter"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

// maxSilence is the time after which the requests in flight of a daemon that states nothing more are dropped. It exceeds usual
// time-outs of routes, within which a daemon with requests in flight has to state their ends.
const maxSilence = 5 * time.Second

// daemon is what one daemon has stated.
type daemon struct {
	inFlight map[string]int // by target
	statedAt time.Time
}

// Placer chooses targets for the requests of all daemons; it is safe for concurrent use.
type Placer struct {
	mu       sync.Mutex
	balancer *fulmarbalancer.Balancer
	daemons  map[string]*daemon
}

// New returns a placer that knows of no daemon. All random numbers come from src.
func New(src rand.Source) *Placer {
	return &Placer{balancer: fulmarbalancer.New(math.MaxInt, src), daemons: make(map[string]*daemon)}
}

// Record takes over what a daemon states of the targets that it uses. If whole is true, it uses no others.
func (p *Placer) Record(now time.Time, id string, whole bool, uses []fulmarbalancer.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent(now)
	d := p.daemons[id]
	if d == nil {
		d = &daemon{inFlight: make(map[string]int)}
		p.daemons[id] = d
	}
	d.statedAt = now
	if whole {
		p.drop(d)
	}
	for _, u := range uses {
		p.balancer.Merge(u, u.InFlight-d.inFlight[u.Target])
		d.set(u.Target, u.InFlight)
	}
}

// Place chooses a target for a request of a daemon and counts the request as in flight there until the daemon states otherwise. It
// returns false if there are no candidates.
func (p *Placer) Place(now time.Time, id string, candidates iter.Seq[fulmarbalancer.Candidate]) (target string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	i := p.balancer.Choose(now, func(yield func(fulmarbalancer.Candidate) bool) {
		for c := range candidates {
			ids = append(ids, c.ID)
			if !yield(c) {
				return
			}
		}
	}, math.MaxInt)
	if i < 0 {
		return "", false
	}
	if d := p.daemons[id]; d != nil {
		p.balancer.Add(ids[i], 1)
		d.set(ids[i], d.inFlight[ids[i]]+1)
	}
	return ids[i], true
}

// Retain drops the targets without requests in flight for which keep returns false.
func (p *Placer) Retain(keep func(target string) bool) { p.balancer.Retain(keep) }

// dropSilent drops what daemons have stated that have stated nothing for maxSilence.
func (p *Placer) dropSilent(now time.Time) {
	for id, d := range p.daemons {
		if now.Sub(d.statedAt) > maxSilence {
			p.drop(d)
			delete(p.daemons, id)
		}
	}
}

// drop drops the requests in flight of a daemon.
func (p *Placer) drop(d *daemon) {
	for target, n := range d.inFlight {
		p.balancer.Add(target, -n)
	}
	clear(d.inFlight)
}

// set sets the number of the daemon's requests in flight at a target.
func (d *daemon) set(target string, n int) {
	if n == 0 {
		delete(d.inFlight, target)
		return
	}
	d.inFlight[target] = n
}
