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
	keySpace  = fulmarrange.MaxKey + 1
	binKeys   = 32 // neighbouring keys that are taken to be alike
	bins      = keySpace / binKeys
	shortSpan = 700 * time.Millisecond // notices a change
	longSpan  = 5 * time.Second        // tells the usual rate from chance
	// firstSpan is the time in which the first requests are taken to have come.
	firstSpan = 200 * time.Millisecond
	forgotten = 0.02 // weight below which a key is dropped
	// change is the factor between the short and the long rate that counts as a change, if the short rate or the
	// one that was expected rests on that many requests.
	change    = 2.0
	certainty = 5.0
	// A key stands out from its neighbours if it has that many requests, and that many times as many as they have.
	outstanding = 6.0
	prominence  = 4.0
)

// aging is a count that loses 63% of its weight within its span. The counts are kept in units that shrink with
// time, so that aging costs the same for any number of keys.
type aging struct {
	span  time.Duration
	units map[int]float64 // by key
	unit  float64         // what one unit counts now
}

func newAging(span time.Duration) aging {
	return aging{span: span, units: make(map[int]float64), unit: 1}
}

func (a *aging) add(key int, n float64) { a.units[key] += n / a.unit }

func (a *aging) get(key int) float64 { return a.units[key] * a.unit }

// all returns the counts by key.
func (a *aging) all() iter.Seq2[int, float64] {
	return func(yield func(int, float64) bool) {
		for key, n := range a.units {
			if !yield(key, n*a.unit) {
				return
			}
		}
	}
}

// worn is the unit at which counts are converted to new units and those that no longer matter are dropped.
const worn = 0.5

func (a *aging) advance(passed time.Duration) {
	a.unit *= math.Exp(-passed.Seconds() / a.span.Seconds())
	if a.unit > worn {
		return
	}
	for key, n := range a.units {
		if n *= a.unit; n < forgotten {
			delete(a.units, key)
			continue
		}
		a.units[key] = n
	}
	a.unit = 1
}

// covered returns the time in seconds that the counts stand for, which is short after the start.
func (a *aging) covered(since time.Duration) float64 {
	full := a.span.Seconds()
	return max(full*(1-math.Exp(-since.Seconds()/full)), shortSpan.Seconds()/4)
}

// Rates estimates the request rates of keys from counts; it is not safe for concurrent use.
type Rates struct {
	start time.Time // from which requests were counted; zero before the first
	last  time.Time
	short aging
	long  aging
}

// NewRates returns rates without requests.
func NewRates(now time.Time) *Rates {
	return &Rates{last: now, short: newAging(shortSpan), long: newAging(longSpan)}
}

// Advance lets the counts age up to now.
func (r *Rates) Advance(now time.Time) {
	passed := now.Sub(r.last)
	if passed <= 0 {
		return
	}
	r.last = now
	r.short.advance(passed)
	r.long.advance(passed)
}

// Add counts n requests for a key that came shortly before the time of the last Advance.
func (r *Rates) Add(key int, n float64) {
	if r.start.IsZero() {
		r.start = r.last.Add(-firstSpan)
	}
	r.short.add(key, n)
	r.long.add(key, n)
}

// Rate is the request rate of one key, in requests a second.
type Rate struct {
	Key       int
	PerSecond float64
}

// Profile is the load over the key space: neighbouring keys are taken to be alike, but for some that stand out.
type Profile struct {
	before  [bins + 1]float64 // rate of the keys before each bin, without the outstanding ones
	spikes  []Rate            // keys that stand out, in their order
	through []float64         // sums of the rates of spikes up to each
}

// Total returns the rate of all keys.
func (p *Profile) Total() float64 { return p.Rate(0, fulmarrange.MaxKey) }

// Rate returns the rate of the keys from from to to, which may be empty.
func (p *Profile) Rate(from, to int) float64 {
	if from > to {
		return 0
	}
	i := sort.Search(len(p.spikes), func(i int) bool { return p.spikes[i].Key >= from })
	j := sort.Search(len(p.spikes), func(i int) bool { return p.spikes[i].Key > to })
	return p.upTo(to+1) - p.upTo(from) + p.through[j] - p.through[i]
}

// upTo returns the rate of the keys below key, without the outstanding ones.
func (p *Profile) upTo(key int) float64 {
	bin, rest := key/binKeys, key%binKeys
	if rest == 0 {
		return p.before[bin]
	}
	return p.before[bin] + (p.before[bin+1]-p.before[bin])*float64(rest)/binKeys
}

// Spikes returns the keys that stand out; the caller must not modify them.
func (p *Profile) Spikes() []Rate { return p.spikes }

// observed holds the counts of one bin.
type observed struct{ short, long float64 }

// Profile returns the present load. uniform is the share of it that is taken to lie evenly on all keys.
//
// The rates over some seconds count, as those over a fraction of a second are mostly chance. Where neighbouring
// keys together have surely become busier or calmer than the load as a whole, the latest rate counts.
func (r *Rates) Profile(uniform float64) *Profile {
	since := longSpan
	if !r.start.IsZero() {
		since = r.last.Sub(r.start)
	}
	short, long := r.short.covered(since), r.long.covered(since)
	var seen [bins]observed
	var all observed
	for key, n := range r.long.all() {
		latest := r.short.get(key)
		b := &seen[key/binKeys]
		b.long += n
		b.short += latest
		all.long += n
		all.short += latest
	}
	// The load as a whole rises and falls faster than its shape changes.
	tide := 1.0
	if all.long > 0 {
		tide = all.short / short * long / all.long
	}
	p := &Profile{}
	var rates [bins]float64
	for i, b := range seen {
		rates[i] = b.rate(short, long, tide)
	}
	p.spikes = r.outstanding(&seen, &rates)
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	if total == 0 && len(p.spikes) == 0 {
		uniform, total = 1, 1
	}
	p.through = make([]float64, len(p.spikes)+1)
	for i, s := range p.spikes {
		p.through[i+1] = p.through[i] + s.PerSecond
	}
	for i, rate := range rates {
		p.before[i+1] = p.before[i] + rate*(1-uniform) + total*uniform/bins
	}
	return p
}

// rate returns the rate of a bin, in requests a second.
func (b observed) rate(short, long, tide float64) float64 {
	usual, latest := b.long/long*tide, b.short/short
	if latest > change*usual && b.short >= certainty || latest < usual/change && usual*short >= certainty {
		return latest
	}
	return usual
}

// outstanding returns the keys that stand out from their bin and takes their rates out of those of the bins.
func (r *Rates) outstanding(seen *[bins]observed, rates *[bins]float64) []Rate {
	var out []Rate
	taken := make(map[int]float64) // by bin
	for key, n := range r.long.all() {
		b := seen[key/binKeys]
		if rate := rates[key/binKeys]; n >= outstanding && rate > 0 && n >= prominence*(b.long-n)/(binKeys-1) {
			// Within its bin, the key has the share of the requests that it had lately.
			share := n / b.long
			if s := r.short.get(key); b.short >= certainty {
				share = s / b.short
			}
			if share == 0 {
				continue
			}
			out = append(out, Rate{key, rate * share})
			taken[key/binKeys] += rate * share
		}
	}
	for bin, rate := range taken {
		rates[bin] = max(rates[bin]-rate, 0)
	}
	slices.SortFunc(out, func(a, b Rate) int { return a.Key - b.Key })
	return out
}
