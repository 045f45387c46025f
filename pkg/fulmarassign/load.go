package fulmarassign

import (
	"math"
	"slices"
	"time"
)

// Rates estimates the request rates of single keys from counts; it is not safe for concurrent use.
type Rates struct {
	span   time.Duration
	start  time.Time
	last   time.Time
	counts map[int]float64
	total  float64
}

// NewRates returns rates in which counts lose 63% of their weight within span.
func NewRates(now time.Time, span time.Duration) *Rates {
	return &Rates{span: span, start: now, last: now, counts: make(map[int]float64)}
}

// forgotten is the weight below which a key is dropped.
const forgotten = 0.02

// Advance lets the counts age up to now.
func (r *Rates) Advance(now time.Time) {
	passed := now.Sub(r.last)
	if passed <= 0 {
		return
	}
	r.last = now
	factor := math.Exp(-passed.Seconds() / r.span.Seconds())
	r.total = 0
	for key, n := range r.counts {
		n *= factor
		if n < forgotten {
			delete(r.counts, key)
			continue
		}
		r.counts[key] = n
		r.total += n
	}
}

// Add counts n requests for a key.
func (r *Rates) Add(key int, n float64) {
	r.counts[key] += n
	r.total += n
}

// Rate is the request rate of one key, in requests a second.
type Rate struct {
	Key    int
	Second float64
}

// Keys returns the rates of all keys that were requested lately, in the order of the keys.
func (r *Rates) Keys() []Rate {
	out := make([]Rate, 0, len(r.counts))
	scale := r.scale()
	for key, n := range r.counts {
		out = append(out, Rate{key, n * scale})
	}
	slices.SortFunc(out, func(a, b Rate) int { return a.Key - b.Key })
	return out
}

// Total returns the request rate of all keys.
func (r *Rates) Total() float64 { return r.total * r.scale() }

// scale turns an aged count into a rate; shortly after the start the counts cover less than the span.
func (r *Rates) scale() float64 {
	covered := r.span.Seconds() * (1 - math.Exp(-r.last.Sub(r.start).Seconds()/r.span.Seconds()))
	return 1 / max(covered, r.span.Seconds()/10)
}
