package fulmarslot

import (
	"maps"
	"slices"
)

// chunkSize is the number of slots that are copied together. A batch of 64 moves
// that are spread over 1M slots then copies about 100 KB of slots.
const chunkSize = 256

// entry is the ownership of one slot. Targets are stored as their reference plus
// one, so that zero means none.
type entry struct {
	owner, next uint16
	forced      bool
}

type chunk struct {
	entries [chunkSize]entry
	moving  int // entries with a next target
	unowned int // entries in use without an owner
}

// hot is the slot of a hot key; used is false after the key was removed at epoch freed.
type hot struct {
	hash  uint64
	used  bool
	freed uint64
}

// tally counts the slots of one target.
type tally struct {
	owned    int // owned and not moving away
	away     int // owned and moving away
	incoming int // moving here
}

// space is the key space of one service. It is immutable unless its edit is the
// one under way.
type space struct {
	edit   *edit
	name   string
	plain  int
	hots   []hot
	index  map[uint64]int // slot of each hot key
	chunks []*chunk
	owners []*edit        // by chunk: the edit that may modify it
	tally  []tally        // by target reference
	since  map[int]uint64 // by slot: epoch in which its last move started
}

// edit identifies one call of With, which may modify what it has copied.
type edit struct {
	epoch                       uint64
	targets, roster, quarantine bool // lists that were copied
}

func newSpace(e *edit, name string, slots int) *space {
	s := &space{edit: e, name: name, plain: slots}
	for n := slots; n > 0; n -= chunkSize {
		s.chunks = append(s.chunks, &chunk{unowned: min(chunkSize, n)})
		s.owners = append(s.owners, e)
	}
	return s
}

// copyFor returns a copy that e may modify; its chunks are still shared.
func (s *space) copyFor(e *edit) *space {
	c := *s
	c.edit = e
	c.chunks = slices.Clone(s.chunks)
	c.owners = make([]*edit, len(s.chunks))
	c.hots = slices.Clone(s.hots)
	c.index = maps.Clone(s.index)
	c.tally = slices.Clone(s.tally)
	c.since = maps.Clone(s.since)
	maps.DeleteFunc(c.since, func(slot int, since uint64) bool { return since+remember < e.epoch && s.at(slot).next == 0 })
	return &c
}

// started notes the epoch in which the move of a slot started.
func (s *space) started(slot int, epoch uint64) {
	if s.since == nil {
		s.since = map[int]uint64{}
	}
	s.since[slot] = epoch
}

func (s *space) len() int { return s.plain + len(s.hots) }

// valid reports whether slot exists and is not that of a removed hot key.
func (s *space) valid(slot int) bool {
	return slot >= 0 && (slot < s.plain || slot < s.len() && s.hots[slot-s.plain].used)
}

func (s *space) at(slot int) entry { return s.chunks[slot/chunkSize].entries[slot%chunkSize] }

// place returns the slot of a key's hash.
func (s *space) place(hash uint64) int {
	if slot, ok := s.index[hash]; ok {
		return slot
	}
	return int(hash % uint64(s.plain))
}

// write returns the chunk of slot after copying it if it is shared.
func (s *space) write(slot int) *chunk {
	i := slot / chunkSize
	if s.owners[i] != s.edit {
		c := *s.chunks[i]
		s.chunks[i], s.owners[i] = &c, s.edit
	}
	return s.chunks[i]
}

// set replaces the ownership of a slot and keeps the counts.
func (s *space) set(slot int, next entry) {
	c := s.write(slot)
	old := c.entries[slot%chunkSize]
	c.entries[slot%chunkSize] = next
	s.count(c, old, -1)
	s.count(c, next, 1)
}

func (s *space) count(c *chunk, e entry, by int) {
	switch {
	case e.owner == 0:
		c.unowned += by
	case e.next == 0:
		s.tallyOf(e.owner).owned += by
	default:
		c.moving += by
		s.tallyOf(e.owner).away += by
		s.tallyOf(e.next).incoming += by
	}
}

func (s *space) tallyOf(owner uint16) *tally {
	for len(s.tally) < int(owner) {
		s.tally = append(s.tally, tally{})
	}
	return &s.tally[owner-1]
}

// addHot returns the slot that it made for a hot key.
func (s *space) addHot(hash, epoch uint64) (int, bool) {
	at, oldest := -1, epoch
	for i, h := range s.hots {
		if !h.used && h.freed+reuse <= epoch && h.freed < oldest {
			at, oldest = i, h.freed
		}
	}
	if at < 0 && len(s.hots) >= maxHot {
		return 0, false
	}
	if at < 0 {
		at = len(s.hots)
		s.hots = append(s.hots, hot{})
		if s.len() > len(s.chunks)*chunkSize {
			s.chunks = append(s.chunks, &chunk{})
			s.owners = append(s.owners, s.edit)
		}
	}
	s.hots[at] = hot{hash: hash, used: true}
	if s.index == nil {
		s.index = map[uint64]int{}
	}
	s.index[hash] = s.plain + at
	s.write(s.plain+at).unowned++
	return s.plain + at, true
}

// removeHot empties the slot of a hot key.
func (s *space) removeHot(slot int, epoch uint64) {
	s.set(slot, entry{})
	s.write(slot).unowned--
	delete(s.since, slot)
	h := &s.hots[slot-s.plain]
	delete(s.index, h.hash)
	*h = hot{freed: epoch}
}
