package fulmarreserve

import "sync"

const (
	// holderDivisor is the part of the budget that one holder may have, which leaves as much to the others.
	holderDivisor = 2
	// optionalDivisor is the part of the budget, and of that of one holder, that optional reservations may fill, so that they never
	// cause a refusal by themselves.
	optionalDivisor = 2
)

// Budget counts bytes that are held for holders; it is safe for concurrent use.
type Budget struct {
	total int64

	mu      sync.Mutex
	used    int64
	holders map[string]int64 // bytes by holder, without those that hold none
}

// New returns a budget of total bytes. If total is zero, it admits any number of bytes that must be held, and none that need not be.
func New(total int64) *Budget { return &Budget{total: total, holders: make(map[string]int64)} }

// Reserve reserves n bytes for a holder and reports whether there was room.
func (b *Budget) Reserve(holder string, n int64) bool {
	return b.reserve(holder, n, b.total, b.total/holderDivisor)
}

// ReserveOptional is Reserve for bytes whose absence costs a holder little. It leaves half of the room to others, and half of that of
// the holder to what the holder must have.
func (b *Budget) ReserveOptional(holder string, n int64) bool {
	return b.total > 0 && b.reserve(holder, n, b.total/optionalDivisor, b.total/holderDivisor/optionalDivisor)
}

func (b *Budget) reserve(holder string, n, limit, holderLimit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total > 0 && (b.used+n > limit || b.holders[holder]+n > holderLimit) {
		return false
	}
	b.add(holder, n)
	return true
}

// Add counts n bytes that are held already, with room or not, for no holder; n is negative for those that are no longer held.
func (b *Budget) Add(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
}

// Release ends the count of n bytes of a holder.
func (b *Budget) Release(holder string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(holder, -n)
}

// add changes the count of a holder by n. The caller holds mu.
func (b *Budget) add(holder string, n int64) {
	b.used += n
	if b.holders[holder] += n; b.holders[holder] == 0 {
		delete(b.holders, holder)
	}
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// HasRoom reports whether n more bytes would fit into the half of the budget that optional reservations may fill.
func (b *Budget) HasRoom(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total == 0 || b.used+n <= b.total/optionalDivisor
}
