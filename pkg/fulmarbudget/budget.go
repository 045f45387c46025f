package fulmarbudget

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Burst is the most retries that a group can save up.
	Burst = 100.0

	maxGroups = 4096 // bounds memory to under a megabyte

	firstCeiling = 10 * time.Millisecond
	lastCeiling  = 500 * time.Millisecond
)

// bucket holds the retries that a group may still spend.
type bucket struct {
	group  string
	tokens float64
	at     time.Time // of the last refill
}

// Budget bounds the retries of each group; it is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	rate    float64
	random  *rand.Rand
	buckets map[string]*list.Element // of *bucket
	used    *list.List               // latest first
}

// New returns a budget of ratio retries a request plus rate a second for each
// group. The budget uses src alone; src must not be used elsewhere.
func New(ratio, rate float64, src rand.Source) *Budget {
	if !(ratio >= 0) || !(rate >= 0) {
		panic("fulmarbudget: ratio and rate must not be negative")
	}
	return &Budget{
		ratio:   ratio,
		rate:    rate,
		random:  rand.New(src),
		buckets: make(map[string]*list.Element),
		used:    list.New(),
	}
}

// Earn records a first attempt of the group.
func (b *Budget) Earn(now time.Time, group string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(now, group)
	k.tokens = min(k.tokens+b.ratio, Burst)
}

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take(now time.Time, group string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(now, group)
	// The tolerance covers rounding: ten tenths count as one.
	const tolerance = 1e-9
	if k.tokens < 1-tolerance {
		return false
	}
	k.tokens = max(k.tokens-1, 0)
	return true
}

// bucket returns the bucket of a group, refilled up to now.
func (b *Budget) bucket(now time.Time, group string) *bucket {
	if el := b.buckets[group]; el != nil {
		b.used.MoveToFront(el)
		k := el.Value.(*bucket)
		if passed := now.Sub(k.at); passed > 0 {
			k.tokens = min(k.tokens+passed.Seconds()*b.rate, Burst)
			k.at = now
		}
		return k
	}
	if len(b.buckets) >= maxGroups {
		last := b.used.Remove(b.used.Back()).(*bucket)
		delete(b.buckets, last.group)
	}
	k := &bucket{group: group, tokens: min(b.rate, Burst), at: now}
	b.buckets[group] = b.used.PushFront(k)
	return k
}

// Backoff returns the wait before the given retry, counted from 0: full jitter
// from 10 ms to 500 ms. The wait is uniform between 0 and a ceiling that starts
// at 10 ms and doubles with each retry up to 500 ms.
func (b *Budget) Backoff(retry int) time.Duration {
	ceiling := firstCeiling
	for ; retry > 0 && ceiling < lastCeiling; retry-- {
		ceiling *= 2
	}
	ceiling = min(ceiling, lastCeiling)
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.Int64N(int64(ceiling) + 1))
}

// Len returns the number of groups held.
func (b *Budget) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buckets)
}
