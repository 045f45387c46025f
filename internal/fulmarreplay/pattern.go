package fulmarreplay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// HotPeriod is a period in which a few neighbouring keys get an extra share of the requests.
type HotPeriod struct {
	Start, Duration time.Duration
	Share           float64
	Keys            int // number of neighbouring keys among which the share is divided
}

// ShedPeriod is a period in which targets reject a share of the requests although they have capacity.
type ShedPeriod struct {
	Start, Duration time.Duration
	Share           float64
}

// SlowPeriod is a period in which the service times of some targets are multiplied by Factor.
type SlowPeriod struct {
	Start, Duration time.Duration
	TargetShare     float64 // share of the targets that are slow
	Factor          float64
}

// BurstPeriod is a period in which the rate of requests is multiplied by Factor.
type BurstPeriod struct {
	Start, Duration time.Duration
	Factor          float64
}

// Noise makes a share of the targets slower by Factor, others in each period of Every, as they share their machines with others.
type Noise struct {
	Share, Factor float64
	Every         time.Duration
}

// slowdown returns the factor by which target i is slower at a time.
func (n Noise) slowdown(i int, at time.Duration) float64 {
	if n.Every <= 0 {
		return 1
	}
	draw := rand.New(rand.NewPCG(uint64(i), uint64(at/n.Every)))
	if draw.Float64() < n.Share {
		return n.Factor
	}
	return 1
}

// ServiceTime is the distribution of service times at a target of speed 1: log-normal
// with a tail of longer requests, and cut off at Max.
type ServiceTime struct {
	Mean       time.Duration
	LogSigma   float64 // standard deviation of the logarithm
	TailShare  float64 // share of the requests that take TailFactor times longer
	TailFactor float64
	Max        time.Duration
}

// sample draws the service time of one request.
func (w ServiceTime) sample(r *rand.Rand) time.Duration {
	x := w.Mean.Seconds() * math.Exp(w.LogSigma*r.NormFloat64()-w.LogSigma*w.LogSigma/2)
	if r.Float64() < w.TailShare {
		x *= w.TailFactor
	}
	return min(time.Duration(x*float64(time.Second)), w.Max)
}

// Pattern describes the load on one keyed service, its targets, and the worth of its answers.
type Pattern struct {
	Name          string
	Rate          float64       // requests a second, the mean of a sine wave
	Amplitude     float64       // of the wave, as a share of Rate
	Period        time.Duration // of the wave
	Duration      time.Duration
	ZipfExponent  float64 // exponent of the Zipf distribution of requests over keys; the most popular keys are neighbours
	HotPeriods    []HotPeriod
	ShedPeriods   []ShedPeriod
	SlowPeriods   []SlowPeriod
	BurstPeriods  []BurstPeriod
	Noise         Noise
	ServiceTime   ServiceTime
	Targets       int
	TargetSpeeds  []float64 // relative speeds, assigned to the targets in turn
	Slots         int       // concurrent requests of each target
	Queue         int       // waiting requests of each target
	HangsWhenFull bool      // a full target leaves requests unanswered instead of rejecting them
	Daemons       int
	Goal          time.Duration // latency up to which an answer has its full worth
	Timeout       time.Duration // of a caller, for both of its attempts
	LateWorth     float64       // worth of an answer after the goal, where one within it has worth 1
	MoveCost      float64       // cost of moving all keys to other owners, in answers within the goal
}

// rateAt returns the request rate at a time, in requests a second.
func (p Pattern) rateAt(at time.Duration) float64 {
	rate := p.Rate * (1 + p.Amplitude*math.Sin(2*math.Pi*at.Seconds()/p.Period.Seconds()))
	for _, b := range p.BurstPeriods {
		if at >= b.Start && at < b.Start+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// keySampler draws the keys of requests: from a hot range in its period, and otherwise
// from a Zipf distribution around a centre.
type keySampler struct {
	pattern    Pattern
	random     *rand.Rand
	centre     int       // the most popular key
	hotStarts  []int     // first key of each hot range
	cumulative []float64 // sums of the weights of the ranks
}

func newKeySampler(p Pattern, r *rand.Rand) *keySampler {
	k := &keySampler{pattern: p, random: r, centre: r.IntN(fulmarrange.MaxKey + 1)}
	for range p.HotPeriods {
		k.hotStarts = append(k.hotStarts, r.IntN(fulmarrange.MaxKey-1000))
	}
	const ranks = 60000
	k.cumulative = make([]float64, ranks)
	sum := 0.0
	for i := range ranks {
		sum += math.Pow(float64(i+1), -p.ZipfExponent)
		k.cumulative[i] = sum
	}
	return k
}

// sample draws the key of a request at a time. Popularity ranks alternate between both sides of the centre.
func (k *keySampler) sample(at time.Duration) int {
	for i, h := range k.pattern.HotPeriods {
		if at >= h.Start && at < h.Start+h.Duration && k.random.Float64() < h.Share {
			return k.hotStarts[i] + k.random.IntN(h.Keys)
		}
	}
	x := k.random.Float64() * k.cumulative[len(k.cumulative)-1]
	lo, hi := 0, len(k.cumulative)-1
	for lo < hi {
		if mid := (lo + hi) / 2; k.cumulative[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	key := k.centre + lo/2
	if lo%2 == 1 {
		key = k.centre - lo/2
	}
	return (key + fulmarrange.MaxKey + 1) % (fulmarrange.MaxKey + 1)
}
