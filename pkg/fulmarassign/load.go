package fulmarassign

import (
	"iter"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	keySpace    = fulmarrange.MaxKey + 1
	binKeys     = 32 // adjacent keys that are assumed to have equal rates
	bins        = keySpace / binKeys
	shortWindow = 700 * time.Millisecond // detects changes of the rate
	longWindow  = 5 * time.Second        // averages out random variation
	// initialWindow is the time over which the first requests are assumed to have arrived.
	initialWindow = 200 * time.Millisecond
	minCount      = 0.02 // a key with a lower count is dropped
	// changeFactor is the ratio of the short-term to the long-term rate, or its inverse, above which the rate has
	// changed, provided that the observed or expected short-term count is at least minChangeRequests.
	changeFactor      = 2.0
	minChangeRequests = 5.0
	// A key is a spike if it has at least minSpikeRequests, and minSpikeRatio times as many as the other keys of its
	// bin on average.
	minSpikeRequests = 6.0
	minSpikeRatio    = 4.0
)

// decayingCounts holds counts by key that lose 63% of their weight within window. Counts are stored in units whose
// value shrinks with time, so that decay takes the same time for any number of keys.
type decayingCounts struct {
	window time.Duration
	units  map[int]float64 // by key
	unit   float64         // current value of one unit
}

func newDecayingCounts(span time.Duration) decayingCounts {
	return decayingCounts{window: span, units: make(map[int]float64), unit: 1}
}

func (a *decayingCounts) add(key int, n float64) { a.units[key] += n / a.unit }

func (a *decayingCounts) get(key int) float64 { return a.units[key] * a.unit }

// all iterates over the counts by key.
func (a *decayingCounts) all() iter.Seq2[int, float64] {
	return func(yield func(int, float64) bool) {
		for key, n := range a.units {
			if !yield(key, n*a.unit) {
				return
			}
		}
	}
}

// minUnit is the value of a unit at which counts are converted to new units and those below minCount are dropped.
const minUnit = 0.5

func (a *decayingCounts) decay(passed time.Duration) {
	a.unit *= math.Exp(-passed.Seconds() / a.window.Seconds())
	if a.unit > minUnit {
		return
	}
	for key, n := range a.units {
		if n *= a.unit; n < minCount {
			delete(a.units, key)
			continue
		}
		a.units[key] = n
	}
	a.unit = 1
}

// effectiveWindow returns the time in seconds that the counts represent. It is shorter than the window soon after
// the start.
func (a *decayingCounts) effectiveWindow(since time.Duration) float64 {
	full := a.window.Seconds()
	return max(full*(1-math.Exp(-since.Seconds()/full)), shortWindow.Seconds()/4)
}

// Rates estimates the request rates of keys from counts; it is not safe for concurrent use.
type Rates struct {
	start time.Time // start of counting; zero before the first request
	last  time.Time
	short decayingCounts
	long  decayingCounts
}

// NewRates returns an estimator without any requests.
func NewRates(now time.Time) *Rates {
	return &Rates{last: now, short: newDecayingCounts(shortWindow), long: newDecayingCounts(longWindow)}
}

// Advance decays the counts up to now.
func (r *Rates) Advance(now time.Time) {
	passed := now.Sub(r.last)
	if passed <= 0 {
		return
	}
	r.last = now
	r.short.decay(passed)
	r.long.decay(passed)
}

// Add counts n requests for a key that arrived shortly before the time of the last Advance.
func (r *Rates) Add(key int, n float64) {
	if r.start.IsZero() {
		r.start = r.last.Add(-initialWindow)
	}
	r.short.add(key, n)
	r.long.add(key, n)
}

// Rate is the request rate of one key.
type Rate struct {
	Key       int
	PerSecond float64 // requests per second
}

// Profile is the request rate over the key space. Keys of a bin are assumed to have equal rates, except for spikes:
// single keys with a much higher rate.
type Profile struct {
	cumulativeRates  [bins + 1]float64 // rate of all keys before each bin, without spikes
	spikes           []Rate            // sorted by key
	cumulativeSpikes []float64         // prefix sums of the rates of spikes
}

// Total returns the request rate of all keys.
func (p *Profile) Total() float64 { return p.Rate(0, fulmarrange.MaxKey) }

// Rate returns the request rate of the keys from from to to; it is zero if from > to.
func (p *Profile) Rate(from, to int) float64 {
	if from > to {
		return 0
	}
	i := sort.Search(len(p.spikes), func(i int) bool { return p.spikes[i].Key >= from })
	j := sort.Search(len(p.spikes), func(i int) bool { return p.spikes[i].Key > to })
	return p.upTo(to+1) - p.upTo(from) + p.cumulativeSpikes[j] - p.cumulativeSpikes[i]
}

// upTo returns the rate of the keys below key, without spikes.
func (p *Profile) upTo(key int) float64 {
	bin, rest := key/binKeys, key%binKeys
	if rest == 0 {
		return p.cumulativeRates[bin]
	}
	return p.cumulativeRates[bin] + (p.cumulativeRates[bin+1]-p.cumulativeRates[bin])*float64(rest)/binKeys
}

// Spikes returns the single keys with much higher rates than their bins; the caller must not modify the result.
func (p *Profile) Spikes() []Rate { return p.spikes }

// binCounts holds the short-term and long-term counts of one bin.
type binCounts struct{ short, long float64 }

// Profile returns the current load. uniform is the share of it that is spread evenly over all keys.
//
// It uses the rates over several seconds, because rates over a fraction of a second are mostly random. It uses the
// latest rate for a bin whose load has clearly changed relative to the total.
func (r *Rates) Profile(uniform float64) *Profile {
	since := longWindow
	if !r.start.IsZero() {
		since = r.last.Sub(r.start)
	}
	short, long := r.short.effectiveWindow(since), r.long.effectiveWindow(since)
	var counts [bins]binCounts
	var all binCounts
	for key, n := range r.long.all() {
		recent := r.short.get(key)
		b := &counts[key/binKeys]
		b.long += n
		b.short += recent
		all.long += n
		all.short += recent
	}
	// The total load changes faster than its distribution over the keys.
	trend := 1.0
	if all.long > 0 {
		trend = all.short / short * long / all.long
	}
	p := &Profile{}
	var rates [bins]float64
	for i, b := range counts {
		rates[i] = b.rate(short, long, trend)
	}
	p.spikes = r.extractSpikes(&counts, &rates)
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	if total == 0 && len(p.spikes) == 0 {
		uniform, total = 1, 1
	}
	p.cumulativeSpikes = make([]float64, len(p.spikes)+1)
	for i, s := range p.spikes {
		p.cumulativeSpikes[i+1] = p.cumulativeSpikes[i] + s.PerSecond
	}
	for i, rate := range rates {
		p.cumulativeRates[i+1] = p.cumulativeRates[i] + rate*(1-uniform) + total*uniform/bins
	}
	return p
}

// rate returns the request rate of a bin per second; trend is the ratio of the short-term to the long-term total
// rate.
func (b binCounts) rate(short, long, trend float64) float64 {
	longTerm, shortTerm := b.long/long*trend, b.short/short
	if shortTerm > changeFactor*longTerm && b.short >= minChangeRequests || shortTerm < longTerm/changeFactor && longTerm*short >= minChangeRequests {
		return shortTerm
	}
	return longTerm
}

// extractSpikes returns the keys with much higher rates than their bins, sorted by key, and subtracts their rates from
// those of the bins.
func (r *Rates) extractSpikes(counts *[bins]binCounts, rates *[bins]float64) []Rate {
	var out []Rate
	spikeRates := make(map[int]float64) // by bin
	for key, n := range r.long.all() {
		b := counts[key/binKeys]
		if rate := rates[key/binKeys]; n >= minSpikeRequests && rate > 0 && n >= minSpikeRatio*(b.long-n)/(binKeys-1) {
			// Use the key's short-term share of its bin if the bin has enough recent requests.
			share := n / b.long
			if s := r.short.get(key); b.short >= minChangeRequests {
				share = s / b.short
			}
			if share == 0 {
				continue
			}
			out = append(out, Rate{key, rate * share})
			spikeRates[key/binKeys] += rate * share
		}
	}
	for bin, rate := range spikeRates {
		rates[bin] = max(rates[bin]-rate, 0)
	}
	slices.SortFunc(out, func(a, b Rate) int { return a.Key - b.Key })
	return out
}
