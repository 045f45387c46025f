package fulmarbudget

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Burst is the maximum number of retries that a group can accumulate.
	Burst = 100.0

	maxGroups = 4096 // keeps memory under a megabyte

	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// bucket holds the retries that a group may still spend.
type bucket struct {
	group      string
	tokens     float64
	refilledAt time.Time // time of the last refill
}

// Budget bounds the retries of each group; it is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	perRequest float64
	perSecond  float64
	rng        *rand.Rand
	buckets    map[string]*list.Element // of *bucket
	byRecency  *list.List               // most recently used first
}

// New returns a budget of ratio retries per first attempt plus rate retries per
// second for each group. The budget needs exclusive use of src.
func New(ratio, rate float64, src rand.Source) *Budget {
	if !(ratio >= 0) || !(rate >= 0) {
		panic("fulmarbudget: ratio and rate must not be negative")
	}
	return &Budget{
		perRequest: ratio,
		perSecond:  rate,
		rng:        rand.New(src),
		buckets:    make(map[string]*list.Element),
		byRecency:  list.New(),
	}
}

// Earn records a first attempt of the group, which adds to its retries.
func (b *Budget) Earn(now time.Time, group string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(now, group)
	k.tokens = min(k.tokens+b.perRequest, Burst)
}

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take(now time.Time, group string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(now, group)
	// The tolerance covers rounding: ten additions of 0.1 must count as 1.
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
		b.byRecency.MoveToFront(el)
		k := el.Value.(*bucket)
		if passed := now.Sub(k.refilledAt); passed > 0 {
			k.tokens = min(k.tokens+passed.Seconds()*b.perSecond, Burst)
			k.refilledAt = now
		}
		return k
	}
	if len(b.buckets) >= maxGroups {
		last := b.byRecency.Remove(b.byRecency.Back()).(*bucket)
		delete(b.buckets, last.group)
	}
	k := &bucket{group: group, tokens: min(b.perSecond, Burst), refilledAt: now}
	b.buckets[group] = b.byRecency.PushFront(k)
	return k
}

// Backoff returns the wait before the given retry, counted from 0, with full
// jitter. The wait is uniform between 0 and a ceiling that starts
// at 10 ms and doubles with each retry up to 500 ms.
func (b *Budget) Backoff(retry int) time.Duration {
	ceiling := initialBackoff
	for ; retry > 0 && ceiling < maxBackoff; retry-- {
		ceiling *= 2
	}
	ceiling = min(ceiling, maxBackoff)
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.Int64N(int64(ceiling) + 1))
}

// Len returns the number of groups held.
func (b *Budget) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buckets)
}
