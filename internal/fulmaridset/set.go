package fulmaridset

import "github.com/cespare/xxhash/v2"

// firstSlots is the size of the table after the first id; it is a power of two, as are all later sizes.
const firstSlots = 16

// Set is a set of ids with a limited size; it is not safe for concurrent use.
type Set struct {
	limit int
	count int
	// table holds the hashes of the ids by open addressing, zero for a free slot. At most half of it is in use.
	table []uint32
}

// New returns an empty set that is full when it holds limit ids.
func New(limit int) *Set { return &Set{limit: limit} }

// Add adds an id. A full set takes further ids, so that Contains holds for them too.
func (s *Set) Add(id string) {
	h := hash(id)
	if 2*(s.count+1) > len(s.table) {
		s.grow()
	}
	if i, found := s.find(h); !found {
		s.table[i] = h
		s.count++
	}
}

// Contains reports whether the id was added.
func (s *Set) Contains(id string) bool {
	if s.count == 0 {
		return false
	}
	_, found := s.find(hash(id))
	return found
}

// Full reports whether the set holds as many ids as its limit.
func (s *Set) Full() bool { return s.count >= s.limit }

// find returns the slot of a hash, or the free slot where it belongs.
func (s *Set) find(h uint32) (slot int, found bool) {
	mask := len(s.table) - 1
	for i := int(h) & mask; ; i = (i + 1) & mask {
		switch s.table[i] {
		case h:
			return i, true
		case 0:
			return i, false
		}
	}
}

func (s *Set) grow() {
	old := s.table
	s.table = make([]uint32, max(firstSlots, 2*len(old)))
	for _, h := range old {
		if h != 0 {
			i, _ := s.find(h)
			s.table[i] = h
		}
	}
}

// hash returns the hash of an id, which is not zero.
func hash(id string) uint32 { return max(1, uint32(xxhash.Sum64String(id))) } //nolint:gosec // the lower half is meant
