package fulmarreplay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarplacement"
)

// Figures of Placement; that of the router is in package fulmarchooser.
const (
	askTime       = 2 * networkDelay // until the answer of the leader is there
	stateInterval = 50 * time.Millisecond
)

// Placement sends requests without keys to the targets that the leader chooses, to which each daemon states what it does.
type Placement struct {
	*Choice
	placer  *fulmarplacement.Placer
	stating []bool // of each daemon: a statement is due
}

// NewPlacement returns an admission for the pattern in which each daemon has at most limit requests in flight at a target.
func NewPlacement(p Pattern, limit int, seed uint64) *Placement {
	return &Placement{
		Choice: NewChoice(p, limit, seed), placer: fulmarplacement.New(rand.NewPCG(seed, 4)), stating: make([]bool, p.Daemons),
	}
}

// Offer sends the request to the target that the leader chooses.
func (a *Placement) Offer(s *Sim, r *Request) {
	s.After(askTime, func() {
		a.state(s, r.Daemon)
		id, ok := a.placer.Place(s.now(), targetName(r.Daemon), a.candidates(s, r.Daemon, a.orders[r.Daemon]))
		i := slices.IndexFunc(a.orders[r.Daemon], func(t int) bool { return targetName(t) == id })
		if !ok || i < 0 || !a.balancers[r.Daemon].Acquire(id, a.limit) {
			a.Choice.Offer(s, r)
			return
		}
		r.Target = a.orders[r.Daemon][i]
		a.sentAt[r] = s.Now()
		s.Send(r)
	})
}

// state states what a daemon does.
func (a *Placement) state(s *Sim, daemon int) {
	uses := a.balancers[daemon].TakeUses(false, func(string) bool { return true })
	a.placer.Record(s.now(), targetName(daemon), false, uses)
}

// Ended records the answer, and lets the daemon state it.
func (a *Placement) Ended(s *Sim, r *Request) {
	a.Choice.Ended(s, r)
	if a.stating[r.Daemon] {
		return
	}
	a.stating[r.Daemon] = true
	s.After(stateInterval, func() {
		a.stating[r.Daemon] = false
		a.state(s, r.Daemon)
	})
}
