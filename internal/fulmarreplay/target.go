package fulmarreplay

import (
	"math/rand/v2"
	"time"
)

// target models a target with slots and a queue.
type target struct {
	sim     *Sim
	index   int
	speed   float64 // relative; service times are divided by it
	random  *rand.Rand
	running map[*call]bool
	waiting []*call
}

// call is a request at a target.
type call struct {
	key         int
	arrived     time.Duration // of the caller's request
	serviceTime time.Duration // at speed 1
	onEnd       func(ok, rejected bool)
	abandoned   bool // the sender gave up
	served      bool
}

// slowdown returns the factor by which service times are multiplied now.
func (t *target) slowdown() float64 {
	f := t.sim.pattern.Noise.slowdown(t.index, t.sim.clock.now) / t.speed
	for _, s := range t.sim.pattern.SlowPeriods {
		if t.sim.clock.now >= s.Start && t.sim.clock.now < s.Start+s.Duration && float64(t.index) < s.TargetShare*float64(t.sim.pattern.Targets) {
			f *= s.Factor
		}
	}
	return f
}

// arrive starts, queues or rejects a request, or leaves it unanswered.
func (t *target) arrive(c *call) {
	for _, s := range t.sim.pattern.ShedPeriods {
		if t.sim.clock.now >= s.Start && t.sim.clock.now < s.Start+s.Duration && t.random.Float64() < s.Share {
			c.onEnd(false, true)
			return
		}
	}
	switch {
	case len(t.running) < t.sim.pattern.Slots:
		t.start(c)
	case len(t.waiting) < t.sim.pattern.Queue:
		t.waiting = append(t.waiting, c)
	case !t.sim.pattern.HangsWhenFull:
		c.onEnd(false, true)
	}
}

// start runs a request in a free slot.
func (t *target) start(c *call) {
	t.running[c] = true
	t.sim.waits = append(t.sim.waits, t.sim.clock.now-c.arrived)
	t.sim.clock.after(time.Duration(float64(c.serviceTime)*t.slowdown()), func() {
		if !t.running[c] {
			return
		}
		t.finish(c)
		c.served = true
		c.onEnd(true, false)
	})
}

// finish frees the slot of a request and starts waiting ones.
func (t *target) finish(c *call) {
	delete(t.running, c)
	for len(t.waiting) > 0 && len(t.running) < t.sim.pattern.Slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.abandoned {
			t.start(next)
		}
	}
}

// abandon stops or dequeues a request whose sender gave up.
func (t *target) abandon(c *call) {
	c.abandoned = true
	if t.running[c] {
		t.finish(c)
		return
	}
	for i, w := range t.waiting {
		if w == c {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
}

// hasRunning reports whether requests for the keys from..to are running.
func (t *target) hasRunning(from, to int) bool {
	for c := range t.running {
		if c.key >= from && c.key <= to {
			return true
		}
	}
	return false
}
