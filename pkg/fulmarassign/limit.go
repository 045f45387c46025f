package fulmarassign

import "math"

// minLimit is the least capacity that a plan assumes, in requests per second; a limit may be zero.
const minLimit = 0.1

// spare returns the request rate that a target may still be given: what its limit leaves if it is in need.
func (p *planner) spare(i int) float64 {
	if !p.targets[i].InNeed {
		return math.Inf(1)
	}
	return p.capacity(i) - p.load[i]
}

// WithLimit returns the target with its capacity reduced to rate, in requests per second, so that a plan moves the keys
// that exceed it to other targets. An idle target with a limit is as fast as before.
func (t Target) WithLimit(rate float64) Target {
	rate = max(rate, minLimit)
	if float64(t.Slots)/t.ServiceTime <= rate {
		return t
	}
	t.Slots = max(1, int(rate*t.ServiceTime))
	slotTime := float64(t.Slots) / rate
	t.limitDelay += max(0, slotTime-t.ServiceTime)
	t.ServiceTime = max(t.ServiceTime, slotTime)
	return t
}
