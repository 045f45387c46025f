package fulmarwarmup

import (
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// MaxLeft is the longest remaining coldness that is believed; more is damage, such as a time in another unit.
const MaxLeft = time.Hour

// Board holds until when targets have said that they are cold; it is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	until map[fulmarrange.Incarnation]time.Time
}

// New returns a board of targets that have said nothing.
func New() *Board { return &Board{until: make(map[fulmarrange.Incarnation]time.Time)} }

// Record records that a target has said that it is cold until the given time, and reports whether it was not known at now to
// be cold. A time before the known one is ignored: the statement may be older.
func (b *Board) Record(target fulmarrange.Incarnation, now, until time.Time) (began bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.until[target]
	if !until.After(known) || !until.After(now) {
		return false
	}
	b.until[target] = until
	return !known.After(now)
}

// Left returns how much longer a target is cold at now, as far as it has said, zero if it is not.
func (b *Board) Left(target fulmarrange.Incarnation, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, known := b.until[target]
	if !known {
		return 0
	}
	return max(0, until.Sub(now))
}

// Retain drops what the targets have said for whose ids keep returns false.
func (b *Board) Retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target := range b.until {
		if !keep(target.ID) {
			delete(b.until, target)
		}
	}
}
