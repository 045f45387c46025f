package fulmarassign

import "math"

// variabilityFactor is (1+c²)/2, where c² is the squared coefficient of variation of service times. c² is about 2
// when a few requests take many times longer than the rest.
const variabilityFactor = 1.5

// linearUtilisation is the utilisation above which the response time grows linearly, so that it stays finite under
// overload.
const linearUtilisation = 0.85

// responseTime returns the expected response time in seconds at a target with the given slots, service time in
// seconds and arrival rate, by Sakasegawa's approximation for queues with several servers.
func responseTime(slots int, serviceTime, rate float64) float64 {
	servers := float64(max(slots, 1))
	utilisation := rate * serviceTime / servers
	if utilisation <= linearUtilisation {
		return serviceTime + queueingDelay(servers, serviceTime, utilisation)
	}
	// Above linearUtilisation, extrapolate with the slope at that point.
	const step = 1e-3
	at := queueingDelay(servers, serviceTime, linearUtilisation)
	slope := (at - queueingDelay(servers, serviceTime, linearUtilisation-step)) / step
	return serviceTime + at + slope*(utilisation-linearUtilisation)
}

// queueingDelay returns the expected time in seconds that a request waits for a slot.
func queueingDelay(servers, serviceTime, utilisation float64) float64 {
	if utilisation <= 0 {
		return 0
	}
	return serviceTime * variabilityFactor * math.Pow(utilisation, math.Sqrt(2*(servers+1))-1) / (servers * (1 - utilisation))
}

// marginalCost returns the derivative of the total response time of all requests at a target with respect to its
// arrival rate, in seconds.
func marginalCost(slots int, serviceTime, rate float64) float64 {
	step := 0.01 * float64(max(slots, 1)) / serviceTime // one hundredth of the target's capacity
	low := max(rate-step/2, 0)
	high := low + step
	return (high*responseTime(slots, serviceTime, high) - low*responseTime(slots, serviceTime, low)) / step
}
