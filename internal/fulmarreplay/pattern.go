package fulmarreplay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Hot is a time in which some neighbouring keys get a part of the requests.
type HotPeriod struct {
	Start, Duration time.Duration
	Share           float64
	Keys            int // neighbours among which the share is divided
}

// Shed is a time in which targets turn a part of the requests away though they have room.
type ShedPeriod struct {
	Start, Duration time.Duration
	Share           float64
}

// Slow is a time in which some targets take longer.
type SlowPeriod struct {
	Start, Duration time.Duration
	TargetShare     float64 // share of the targets
	Factor          float64
}

// Work describes how long requests take at a target of usual speed.
type ServiceTime struct {
	Mean       time.Duration
	LogSigma   float64 // sigma of the logarithm
	TailShare  float64 // share of the requests that take TailBy times longer
	TailFactor float64
	Max        time.Duration
}

// draw returns the time of one request.
func (w ServiceTime) draw(r *rand.Rand) time.Duration {
	x := w.Mean.Seconds() * math.Exp(w.LogSigma*r.NormFloat64()-w.LogSigma*w.LogSigma/2)
	if r.Float64() < w.TailShare {
		x *= w.TailFactor
	}
	return min(time.Duration(x*float64(time.Second)), w.Max)
}

// Pattern is a load on one keyed service.
type Pattern struct {
	Name          string
	Rate          float64       // requests a second, the mean of the wave
	Amplitude     float64       // of the wave, as a share of the rate
	Period        time.Duration // of the wave
	Duration      time.Duration
	ZipfExponent  float64 // exponent of the popularity of keys, the most popular ones are neighbours
	HotPeriods    []HotPeriod
	ShedPeriods   []ShedPeriod
	SlowPeriods   []SlowPeriod
	ServiceTime   ServiceTime
	Targets       int
	TargetSpeeds  []float64 // of the targets in turn
	Slots         int
	Queue         int
	HangsWhenFull bool // a full target does not answer, instead of turning requests away
	Daemons       int
	Goal          time.Duration
	Timeout       time.Duration
	LateWorth     float64 // worth of an answer after the goal
	MoveCost      float64 // price of all keys changing hands, in requests' worth
}

// rate returns the request rate at a time.
func (p Pattern) rate(at time.Duration) float64 {
	return p.Rate * (1 + p.Amplitude*math.Sin(2*math.Pi*at.Seconds()/p.Period.Seconds()))
}

// keys draws the keys of requests.
type keys struct {
	pattern Pattern
	random  *rand.Rand
	centre  int
	hot     []int // first key of each hot range
	ranks   []float64
}

func newKeys(p Pattern, r *rand.Rand) *keys {
	k := &keys{pattern: p, random: r, centre: r.IntN(fulmarrange.MaxKey + 1)}
	for range p.HotPeriods {
		k.hot = append(k.hot, r.IntN(fulmarrange.MaxKey-1000))
	}
	const ranks = 60000
	k.ranks = make([]float64, ranks)
	sum := 0.0
	for i := range ranks {
		sum += math.Pow(float64(i+1), -p.ZipfExponent)
		k.ranks[i] = sum
	}
	return k
}

// draw returns the key of a request.
func (k *keys) draw(at time.Duration) int {
	for i, h := range k.pattern.HotPeriods {
		if at >= h.Start && at < h.Start+h.Duration && k.random.Float64() < h.Share {
			return k.hot[i] + k.random.IntN(h.Keys)
		}
	}
	x := k.random.Float64() * k.ranks[len(k.ranks)-1]
	lo, hi := 0, len(k.ranks)-1
	for lo < hi {
		if mid := (lo + hi) / 2; k.ranks[mid] < x {
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
