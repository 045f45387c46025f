package fulmarwarmup

import "math"

const (
	// permitShare is the part of the requests that are allowed in a second that permits may use. The rest is for turns, and
	// for requests that were sent before a daemon knew that the target is cold.
	permitShare = 0.7
	// Permits for a rate amount to at most burstFactor times it and burstPermits in any second, if the leader is replaced in
	// it: package fulmarpermit keeps those of a quarter of a second and three, and its successor begins with one.
	burstFactor  = 1.25
	burstPermits = 4.
	// turnShare is the part of what permits leave that turns use on average. Daemons have their turns at random times, so
	// that their number in a second has a Poisson distribution: with a mean of half a request, more than five come together once in
	// fifty thousand seconds, even if every turn and every permit is used.
	turnShare = 0.1
	// turnSpan is the time, in seconds, of which the turns may be used within a second, as a turn lasts up to half a second.
	turnSpan = 1.5
	// usedShare is the part of a rate that package fulmarrotation divides into turns.
	usedShare = 0.5
)

// Rule bounds the requests that a cold target may get in any second, as a multiple of what it takes and a number; the zero
// value allows exactly what it takes.
type Rule struct {
	Over  float64 // multiple of the rate that the target takes, 1 if it is zero
	Slack float64 // requests
}

// allowed returns the number of requests that a target which takes rate requests a second may get in any second.
func (r Rule) allowed(rate float64) float64 {
	over := r.Over
	if over == 0 {
		over = 1
	}
	return rate*over + r.Slack
}

// PermitRate returns the rate of permits for a cold target that takes rate requests a second.
func (r Rule) PermitRate(rate float64) float64 {
	return max(0, min(rate, (permitShare*r.allowed(rate)-burstPermits)/burstFactor))
}

// TurnRate returns the rate that daemons without a leader divide into turns at a cold target that takes rate requests a
// second. All of them together use half of it; see package fulmarrotation.
func (r Rule) TurnRate(rate float64) float64 {
	left := math.Floor(r.allowed(rate) - burstFactor*r.PermitRate(rate) - burstPermits)
	return max(0, turnShare*left/turnSpan/usedShare)
}
