package fulmarbudget

import (
	"math/rand/v2"
	"time"
)

// Budget bounds the retries of each group; it is safe for concurrent use.
type Budget struct{}

// New returns a budget of ratio retries a request plus rate a second for each group.
func New(ratio, rate float64, src rand.Source) *Budget { panic("fulmarbudget: not implemented") }

// Earn records a first attempt of the group.
func (b *Budget) Earn(now time.Time, group string) { panic("fulmarbudget: not implemented") }

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take(now time.Time, group string) bool { panic("fulmarbudget: not implemented") }

// Backoff returns the wait before the given retry, counted from 0: full jitter from 10 ms to 500 ms.
func (b *Budget) Backoff(retry int) time.Duration { panic("fulmarbudget: not implemented") }
