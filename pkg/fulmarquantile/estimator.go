package fulmarquantile

import (
	"math"
	"time"
)

const (
	shortest = time.Millisecond // upper bound of the first bucket
	growth   = 1.1              // ratio of the bounds of two buckets, which bounds the relative error of a quantile
	buckets  = 140              // the last bucket begins at ten minutes
	// maxWeight is the weight of a new duration at which all weights are scaled down, far from the limits of a float64.
	maxWeight = 1e100
)

// Estimator estimates quantiles of the durations that were added; it is not safe for concurrent use.
type Estimator struct {
	memory  float64 // number of durations after which the weight of an earlier one has fallen to 1/e
	weight  float64 // of the next duration
	weights [buckets]float64
	total   float64
}

// New returns an empty estimator in which a duration has lost 63% of its weight after memory more durations. It panics unless
// memory is at least 1.
func New(memory int) *Estimator {
	if memory < 1 {
		panic("fulmarquantile: memory must be positive")
	}
	return &Estimator{memory: float64(memory), weight: 1}
}

// bucket returns the index of the bucket that contains d.
func bucket(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(shortest)) / math.Log(growth)))
	return min(i, buckets-1)
}

// Add adds a duration. A negative one counts as zero.
func (e *Estimator) Add(d time.Duration) {
	e.weights[bucket(d)] += e.weight
	e.total += e.weight
	if e.weight *= math.Exp(1 / e.memory); e.weight > maxWeight {
		for i := range e.weights {
			e.weights[i] /= e.weight
		}
		e.total /= e.weight
		e.weight = 1
	}
}

// Count returns the number of durations that the estimate rests on, in which earlier ones count for their remaining weight. It
// never exceeds memory by more than one.
func (e *Estimator) Count() float64 { return e.total / e.weight * math.Exp(1/e.memory) }

// Quantile returns a duration that the share q of the durations do not exceed, the upper bound of its bucket. It returns zero if
// none were added.
func (e *Estimator) Quantile(q float64) time.Duration {
	if e.total == 0 {
		return 0
	}
	left := q * e.total
	last := 0
	for i, w := range e.weights {
		if w == 0 {
			continue
		}
		last = i
		if left -= w; left <= 0 {
			break
		}
	}
	return time.Duration(float64(shortest) * math.Pow(growth, float64(last)))
}
