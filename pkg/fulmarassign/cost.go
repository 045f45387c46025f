package fulmarassign

import "math"

// spread is (1+c²)/2 for the squared coefficient of variation c² of request times, which is about 2 where a few
// requests take many times longer than the rest.
const spread = 1.5

// saturated is the utilisation from which on the cost grows linearly, so that it stays finite under overload.
const saturated = 0.85

// response returns the expected time in seconds of a request at a target with the given slots, on which requests
// take time seconds and arrive at the given rate, after Sakasegawa's approximation of queues with several servers.
func response(slots int, time, rate float64) float64 {
	c := float64(max(slots, 1))
	use := rate * time / c
	if use <= saturated {
		return time + wait(c, time, use)
	}
	// Beyond saturation the slope at that point is kept.
	const step = 1e-3
	at := wait(c, time, saturated)
	slope := (at - wait(c, time, saturated-step)) / step
	return time + at + slope*(use-saturated)
}

func wait(c, time, use float64) float64 {
	if use <= 0 {
		return 0
	}
	return time * spread * math.Pow(use, math.Sqrt(2*(c+1))-1) / (c * (1 - use))
}

// marginal returns how much the total time of all requests at a target grows with its rate, in seconds.
func marginal(slots int, time, rate float64) float64 {
	step := 0.01 * float64(max(slots, 1)) / time // a hundredth of the target's power
	low := max(rate-step/2, 0)
	high := low + step
	return (high*response(slots, time, high) - low*response(slots, time, low)) / step
}
