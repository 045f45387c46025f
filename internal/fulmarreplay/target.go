package fulmarreplay

import (
	"math/rand/v2"
	"time"
)

// target models a target: slots, a queue, and what it does when it is full.
type target struct {
	sim     *Sim
	index   int
	speed   float64
	random  *rand.Rand
	running map[*call]bool
	waiting []*call
}

// call is a request at a target.
type call struct {
	key    int
	work   time.Duration // at usual speed
	ended  func(ok, rejected bool)
	cut    bool // the sender has left
	served bool
}

// factor returns how many times longer than usual requests take now.
func (t *target) factor() float64 {
	f := 1 / t.speed
	for _, s := range t.sim.pattern.SlowPeriods {
		if t.sim.clock.now >= s.Start && t.sim.clock.now < s.Start+s.Duration && float64(t.index) < s.TargetShare*float64(t.sim.pattern.Targets) {
			f *= s.Factor
		}
	}
	return f
}

// arrive takes a request.
func (t *target) arrive(c *call) {
	for _, s := range t.sim.pattern.ShedPeriods {
		if t.sim.clock.now >= s.Start && t.sim.clock.now < s.Start+s.Duration && t.random.Float64() < s.Share {
			c.ended(false, true)
			return
		}
	}
	switch {
	case len(t.running) < t.sim.pattern.Slots:
		t.start(c)
	case len(t.waiting) < t.sim.pattern.Queue:
		t.waiting = append(t.waiting, c)
	case !t.sim.pattern.HangsWhenFull:
		c.ended(false, true)
	}
}

func (t *target) start(c *call) {
	t.running[c] = true
	t.sim.clock.after(time.Duration(float64(c.work)*t.factor()), func() {
		if !t.running[c] {
			return
		}
		t.finish(c)
		c.served = true
		c.ended(true, false)
	})
}

func (t *target) finish(c *call) {
	delete(t.running, c)
	for len(t.waiting) > 0 && len(t.running) < t.sim.pattern.Slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.cut {
			t.start(next)
		}
	}
}

// leave ends the work on a request whose sender has left.
func (t *target) leave(c *call) {
	c.cut = true
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

// busy reports whether requests for the keys are running.
func (t *target) busy(from, to int) bool {
	for c := range t.running {
		if c.key >= from && c.key <= to {
			return true
		}
	}
	return false
}
