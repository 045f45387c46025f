package fulmarreserve

import "sync"

const (
	// holderDivisor is the part of the budget that one holder may have. Four callers with the largest requests can be served at
	// once, and a single one leaves most of the room to others.
	holderDivisor = 4
	// optionalDivisor is the part of the budget that optional reservations may fill, so that they never cause a refusal.
	optionalDivisor = 2
)

// Budget counts bytes that are held for holders; it is safe for concurrent use.
type Budget struct {
	total int64

	mu      sync.Mutex
	used    int64
	holders map[string]int64 // bytes by holder, without those that hold none
}

// New returns a budget of total bytes, which admits any number if total is zero.
func New(total int64) *Budget { return &Budget{total: total, holders: make(map[string]int64)} }

// Reserve reserves n bytes for a holder and reports whether there was room.
func (b *Budget) Reserve(holder string, n int64) bool { return b.reserve(holder, n, b.total) }

// ReserveOptional is Reserve for bytes whose absence costs a holder little. It leaves half of the budget to others.
func (b *Budget) ReserveOptional(holder string, n int64) bool {
	return b.reserve(holder, n, b.total/optionalDivisor)
}

func (b *Budget) reserve(holder string, n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total > 0 && (b.used+n > limit || b.holders[holder]+n > b.total/holderDivisor) {
		return false
	}
	b.add(holder, n)
	return true
}

// Add counts n bytes that are held for a holder already, with room or not.
func (b *Budget) Add(holder string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(holder, n)
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
