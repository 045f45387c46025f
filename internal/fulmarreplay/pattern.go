package fulmarreplay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Hot is a time in which some neighbouring keys get a part of the requests.
type Hot struct {
	At, For time.Duration
	Share   float64
	Keys    int // neighbours among which the share is divided
}

// Shed is a time in which targets turn a part of the requests away though they have room.
type Shed struct {
	At, For time.Duration
	Share   float64
}

// Slow is a time in which some targets take longer.
type Slow struct {
	At, For time.Duration
	Targets float64 // share of the targets
	Factor  float64
}

// Work describes how long requests take at a target of usual speed.
type Work struct {
	Mean   time.Duration
	Spread float64 // sigma of the logarithm
	Tail   float64 // share of the requests that take TailBy times longer
	TailBy float64
	Max    time.Duration
}

// draw returns the time of one request.
func (w Work) draw(r *rand.Rand) time.Duration {
	x := w.Mean.Seconds() * math.Exp(w.Spread*r.NormFloat64()-w.Spread*w.Spread/2)
	if r.Float64() < w.Tail {
		x *= w.TailBy
	}
	return min(time.Duration(x*float64(time.Second)), w.Max)
}

// Pattern is a load on one keyed service.
type Pattern struct {
	Name    string
	Rate    float64       // requests a second, the mean of the wave
	Swing   float64       // of the wave, as a share of the rate
	Period  time.Duration // of the wave
	Length  time.Duration
	Skew    float64 // exponent of the popularity of keys, the most popular ones are neighbours
	Hot     []Hot
	Shed    []Shed
	Slow    []Slow
	Work    Work
	Targets int
	Speeds  []float64 // of the targets in turn
	Slots   int
	Queue   int
	Hangs   bool // a full target does not answer, instead of turning requests away
	Daemons int
	Goal    time.Duration
	Timeout time.Duration
	Late    float64 // worth of an answer after the goal
	Moved   float64 // price of all keys changing hands, in requests' worth
}

// rate returns the request rate at a time.
func (p Pattern) rate(at time.Duration) float64 {
	return p.Rate * (1 + p.Swing*math.Sin(2*math.Pi*at.Seconds()/p.Period.Seconds()))
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
	for range p.Hot {
		k.hot = append(k.hot, r.IntN(fulmarrange.MaxKey-1000))
	}
	const ranks = 60000
	k.ranks = make([]float64, ranks)
	sum := 0.0
	for i := range ranks {
		sum += math.Pow(float64(i+1), -p.Skew)
		k.ranks[i] = sum
	}
	return k
}

// draw returns the key of a request.
func (k *keys) draw(at time.Duration) int {
	for i, h := range k.pattern.Hot {
		if at >= h.At && at < h.At+h.For && k.random.Float64() < h.Share {
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
