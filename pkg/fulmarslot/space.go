package fulmarslot

import (
	"maps"
	"slices"
)

// chunkSize is the number of slots that are copied together on write. With it, a batch
// of 64 moves spread over 1M slots copies about 100 KB of slots.
const chunkSize = 256

// entry holds the ownership of one slot. Targets are stored as their reference plus
// one, so that zero means none.
type entry struct {
	owner, next uint16
	forced      bool
}

type chunk struct {
	entries [chunkSize]entry
	moving  int // number of entries with a next target
	unowned int // number of entries in use without an owner
}

// hotSlot is the slot of a hot key. After the key was removed, used is false and freedEpoch is the epoch of the removal.
type hotSlot struct {
	hash       uint64
	used       bool
	freedEpoch uint64
}

// targetCount counts the slots of one target.
type targetCount struct {
	owned    int // slots owned and not moving
	outgoing int // slots owned and moving to another target
	incoming int // slots moving to this target
}

// keySpace holds the slots of one service. It is immutable, except to the call of With
// that its edit identifies.
type keySpace struct {
	edit         *edit
	name         string
	plainSlots   int
	hotSlots     []hotSlot
	hotIndex     map[uint64]int // by hash of a hot key: its slot
	chunks       []*chunk
	chunkEdits   []*edit        // by chunk: the edit that may modify the chunk
	targetCounts []targetCount  // by target reference
	moveEpochs   map[int]uint64 // by slot: epoch in which its last move started
}

// edit identifies one call of With. The call may modify only what it has copied.
type edit struct {
	epoch                                         uint64
	targetsCopied, rosterCopied, quarantineCopied bool // whether the list was copied
}

func newKeySpace(e *edit, name string, slots int) *keySpace {
	s := &keySpace{edit: e, name: name, plainSlots: slots}
	for n := slots; n > 0; n -= chunkSize {
		s.chunks = append(s.chunks, &chunk{unowned: min(chunkSize, n)})
		s.chunkEdits = append(s.chunkEdits, e)
	}
	return s
}

// copyFor returns a copy that e may modify. The copy still shares its chunks, and drops the epochs of old moves.
func (s *keySpace) copyFor(e *edit) *keySpace {
	c := *s
	c.edit = e
	c.chunks = slices.Clone(s.chunks)
	c.chunkEdits = make([]*edit, len(s.chunks))
	c.hotSlots = slices.Clone(s.hotSlots)
	c.hotIndex = maps.Clone(s.hotIndex)
	c.targetCounts = slices.Clone(s.targetCounts)
	c.moveEpochs = maps.Clone(s.moveEpochs)
	maps.DeleteFunc(c.moveEpochs, func(slot int, since uint64) bool {
		return since+moveEpochRetention < e.epoch && s.entryAt(slot).next == 0
	})
	return &c
}

// setMoveEpoch records the epoch in which the last move of a slot started.
func (s *keySpace) setMoveEpoch(slot int, epoch uint64) {
	if s.moveEpochs == nil {
		s.moveEpochs = map[int]uint64{}
	}
	s.moveEpochs[slot] = epoch
}

func (s *keySpace) len() int { return s.plainSlots + len(s.hotSlots) }

// inUse reports whether slot exists and does not belong to a removed hot key.
func (s *keySpace) inUse(slot int) bool {
	return slot >= 0 && (slot < s.plainSlots || slot < s.len() && s.hotSlots[slot-s.plainSlots].used)
}

func (s *keySpace) entryAt(slot int) entry { return s.chunks[slot/chunkSize].entries[slot%chunkSize] }

// slotOf returns the slot of a key hash.
func (s *keySpace) slotOf(hash uint64) int {
	if slot, ok := s.hotIndex[hash]; ok {
		return slot
	}
	return int(hash % uint64(s.plainSlots))
}

// writableChunk returns the chunk of slot, copied first if it is shared.
func (s *keySpace) writableChunk(slot int) *chunk {
	i := slot / chunkSize
	if s.chunkEdits[i] != s.edit {
		c := *s.chunks[i]
		s.chunks[i], s.chunkEdits[i] = &c, s.edit
	}
	return s.chunks[i]
}

// setEntry replaces the ownership of a slot and updates the counts.
func (s *keySpace) setEntry(slot int, next entry) {
	c := s.writableChunk(slot)
	old := c.entries[slot%chunkSize]
	c.entries[slot%chunkSize] = next
	s.updateCounts(c, old, -1)
	s.updateCounts(c, next, 1)
}

func (s *keySpace) updateCounts(c *chunk, e entry, by int) {
	switch {
	case e.owner == 0:
		c.unowned += by
	case e.next == 0:
		s.growCounts(e.owner).owned += by
	default:
		c.moving += by
		s.growCounts(e.owner).outgoing += by
		s.growCounts(e.next).incoming += by
	}
}

func (s *keySpace) growCounts(owner uint16) *targetCount {
	for len(s.targetCounts) < int(owner) {
		s.targetCounts = append(s.targetCounts, targetCount{})
	}
	return &s.targetCounts[owner-1]
}

// addHotKey creates or reuses a slot for a hot key and returns it, or false if there are too many.
func (s *keySpace) addHotKey(hash, epoch uint64) (int, bool) {
	index, oldest := -1, epoch
	for i, h := range s.hotSlots {
		if !h.used && h.freedEpoch+hotSlotReuseEpochs <= epoch && h.freedEpoch < oldest {
			index, oldest = i, h.freedEpoch
		}
	}
	if index < 0 && len(s.hotSlots) >= maxHotSlots {
		return 0, false
	}
	if index < 0 {
		index = len(s.hotSlots)
		s.hotSlots = append(s.hotSlots, hotSlot{})
		if s.len() > len(s.chunks)*chunkSize {
			s.chunks = append(s.chunks, &chunk{})
			s.chunkEdits = append(s.chunkEdits, s.edit)
		}
	}
	s.hotSlots[index] = hotSlot{hash: hash, used: true}
	if s.hotIndex == nil {
		s.hotIndex = map[uint64]int{}
	}
	s.hotIndex[hash] = s.plainSlots + index
	s.writableChunk(s.plainSlots+index).unowned++
	return s.plainSlots + index, true
}

// removeHotKey clears the slot of a hot key.
func (s *keySpace) removeHotKey(slot int, epoch uint64) {
	s.setEntry(slot, entry{})
	s.writableChunk(slot).unowned--
	delete(s.moveEpochs, slot)
	h := &s.hotSlots[slot-s.plainSlots]
	delete(s.hotIndex, h.hash)
	*h = hotSlot{freedEpoch: epoch}
}
