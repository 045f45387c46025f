package fulmarslot

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Assignment holds the ownership of one slot. Next is set while the slot is moving.
type Assignment struct {
	Owner     string `cbor:"owner"`
	Next      string `cbor:"next,omitempty"`
	Forced    bool   `cbor:"forced,omitempty"`
	MoveEpoch uint64 `cbor:"since,omitempty"` // epoch in which the last move started, kept for at least 256 epochs
}

// Target is a back-end server that owns slots of one service.
type Target struct {
	ID         string `cbor:"id"`
	Service    string `cbor:"service"`
	Address    string `cbor:"address"`
	DataCentre string `cbor:"dc"`
	Dispatcher string `cbor:"dispatcher,omitempty"` // set only for targets without fencing
	Fenced     bool   `cbor:"fenced"`
	Leaving    bool   `cbor:"leaving,omitempty"`
}

// Member is a daemon in the roster.
type Member struct {
	ID             string `cbor:"id"`
	Incarnation    uint64 `cbor:"incarnation"`
	ControlAddress string `cbor:"control"` // host:port of the drpc listener
	DataAddress    string `cbor:"data"`    // host:port of the peer HTTP listener
	DataCentre     string `cbor:"dc"`
}

// Quarantine marks a request fingerprint as suspect, or as condemned, until a given time.
type Quarantine struct {
	Fingerprint uint64    `cbor:"fingerprint"`
	Condemned   bool      `cbor:"condemned"`
	Until       time.Time `cbor:"until"`
}

// Table is an immutable version of the slot table.
type Table struct {
	epoch      uint64
	edit       *edit       // set only while With applies changes
	keySpaces  []*keySpace // sorted by name
	targets    []Target    // ascending by id
	idByRef    []string    // target id by reference, empty if the reference is free
	refByID    map[string]uint16
	roster     []Member // ascending by id
	quarantine []Quarantine
}

// New returns a table of epoch 1 with the given number of unassigned slots for each service.
// It panics if a name or a number of slots exceeds the limits of the package.
func New(services map[string]int) Table {
	var changes []Change
	for name, slots := range services {
		changes = append(changes, AddService(name, slots))
	}
	t, err := Table{}.With(changes...)
	if err != nil {
		panic(err)
	}
	return t
}

// Epoch returns the version number of the table.
func (t Table) Epoch() uint64 { return t.epoch }

// Services returns the names of the services in ascending order.
func (t Table) Services() []string {
	names := make([]string, len(t.keySpaces))
	for i, s := range t.keySpaces {
		names[i] = s.name
	}
	return names
}

// keySpace returns the key space of a service, or nil if the service does not exist.
func (t *Table) keySpace(service string) *keySpace {
	i, ok := t.findKeySpace(service)
	if !ok {
		return nil
	}
	return t.keySpaces[i]
}

func (t *Table) findKeySpace(service string) (int, bool) {
	return slices.BinarySearchFunc(t.keySpaces, service, func(s *keySpace, name string) int { return cmp.Compare(s.name, name) })
}

func (t *Table) findTarget(id string) (int, bool) {
	return slices.BinarySearchFunc(t.targets, id, func(x Target, id string) int { return cmp.Compare(x.ID, id) })
}

func (t *Table) findMember(id string) (int, bool) {
	return slices.BinarySearchFunc(t.roster, id, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
}

// Slots returns the number of slots of service, including those of hot keys.
func (t Table) Slots(service string) int {
	if s := t.keySpace(service); s != nil {
		return s.len()
	}
	return 0
}

// PlainSlots returns the number of slots of service, excluding those of hot keys.
func (t Table) PlainSlots(service string) int {
	if s := t.keySpace(service); s != nil {
		return s.plainSlots
	}
	return 0
}

// KeyHash returns the hash that Table.Slot uses to find the slot of a key.
func KeyHash(service, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write(keySeparator[:])
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// keySeparator makes the concatenation of a service name and a key unambiguous.
var keySeparator = [1]byte{0}

// Slot returns the slot of key, and false if the service does not exist.
func (t Table) Slot(service, key string) (int, bool) {
	s := t.keySpace(service)
	if s == nil {
		return 0, false
	}
	return s.slotOf(KeyHash(service, key)), true
}

// HotKeySlot returns the slot of the hot key with the given hash, and false if there is none.
func (t Table) HotKeySlot(service string, hash uint64) (int, bool) {
	s := t.keySpace(service)
	if s == nil {
		return 0, false
	}
	slot, ok := s.hotIndex[hash]
	return slot, ok
}

// ParentSlot returns the plain slot and the key hash of a hot key's slot.
func (t Table) ParentSlot(service string, slot int) (parent int, hash uint64, ok bool) {
	s := t.keySpace(service)
	if s == nil || slot < s.plainSlots || !s.inUse(slot) {
		return 0, 0, false
	}
	hash = s.hotSlots[slot-s.plainSlots].hash
	return int(hash % uint64(s.plainSlots)), hash, true
}

// Assignment returns the ownership of a slot. It panics if slot is out of range.
func (t Table) Assignment(service string, slot int) Assignment {
	s := t.keySpace(service)
	if s == nil || slot < 0 || slot >= s.len() {
		panic(fmt.Sprintf("fulmarslot: no slot %d in service %q", slot, service))
	}
	return t.assignment(s, slot)
}

func (t *Table) assignment(s *keySpace, slot int) Assignment {
	e := s.entryAt(slot)
	a := Assignment{Forced: e.forced, MoveEpoch: s.moveEpochs[slot]}
	if e.owner != 0 {
		a.Owner = t.idByRef[e.owner-1]
	}
	if e.next != 0 {
		a.Next = t.idByRef[e.next-1]
	}
	return a
}

// OwnedBy appends to dst the slots that target owns, without those that are moving away.
func (t Table) OwnedBy(dst []int, target string) []int {
	s, owner := t.keySpaceOf(target)
	if s == nil || s.countsOf(owner).owned == 0 {
		return dst
	}
	for i, c := range s.chunks {
		for j := range c.entries {
			if e := &c.entries[j]; e.owner == owner && e.next == 0 {
				dst = append(dst, i*chunkSize+j)
			}
		}
	}
	return dst
}

// MovingFrom appends to dst the slots that are moving away from target.
func (t Table) MovingFrom(dst []int, target string) []int {
	s, owner := t.keySpaceOf(target)
	if s == nil || s.countsOf(owner).outgoing == 0 {
		return dst
	}
	for i, c := range s.chunks {
		if c.moving == 0 {
			continue
		}
		for j := range c.entries {
			if e := &c.entries[j]; e.owner == owner && e.next != 0 {
				dst = append(dst, i*chunkSize+j)
			}
		}
	}
	return dst
}

// keySpaceOf returns the key space of the service of a target, and the reference of the target plus one.
func (t *Table) keySpaceOf(target string) (*keySpace, uint16) {
	i, ok := t.findTarget(target)
	if !ok {
		return nil, 0
	}
	return t.keySpace(t.targets[i].Service), t.refByID[target] + 1
}

func (s *keySpace) countsOf(owner uint16) targetCount {
	if int(owner) > len(s.targetCounts) {
		return targetCount{}
	}
	return s.targetCounts[owner-1]
}

// SlotCounts returns how many slots target owns without moving, how many are moving away from it and how many are moving to it.
func (t Table) SlotCounts(target string) (owned, outgoing, incoming int) {
	s, owner := t.keySpaceOf(target)
	if s == nil {
		return 0, 0, 0
	}
	n := s.countsOf(owner)
	return n.owned, n.outgoing, n.incoming
}

// MovingSlots iterates over the moving slots of service in ascending order.
func (t Table) MovingSlots(service string) iter.Seq2[int, Assignment] {
	return t.filterSlots(service, func(c *chunk) int { return c.moving }, func(e entry) bool { return e.next != 0 })
}

// UnownedSlots iterates over the slots of service without an owner in ascending order.
func (t Table) UnownedSlots(service string) iter.Seq2[int, Assignment] {
	return t.filterSlots(service, func(c *chunk) int { return c.unowned }, func(e entry) bool { return e.owner == 0 })
}

// filterSlots iterates over the slots that match. It skips chunks where count returns zero.
func (t Table) filterSlots(service string, count func(*chunk) int, match func(entry) bool) iter.Seq2[int, Assignment] {
	s := t.keySpace(service)
	return func(yield func(int, Assignment) bool) {
		if s == nil {
			return
		}
		for i, c := range s.chunks {
			if count(c) == 0 {
				continue
			}
			for j, e := range c.entries {
				slot := i*chunkSize + j
				if match(e) && s.inUse(slot) && !yield(slot, t.assignment(s, slot)) {
					return
				}
			}
		}
	}
}

// OwnedSince appends to dst the slots that target owns and whose keys it has owned
// since epoch: the slot did not start to move to it later, and no hot key returned
// to a plain slot of its service later. If epoch is in the future, or 64 or more
// epochs old, it appends nothing, because the table cannot tell.
func (t Table) OwnedSince(dst []int, target string, epoch uint64) []int {
	s, _ := t.keySpaceOf(target)
	if s == nil || epoch > t.epoch || t.epoch-epoch >= hotSlotReuseEpochs {
		return dst
	}
	for _, h := range s.hotSlots {
		if !h.used && h.freedEpoch > epoch {
			return dst
		}
	}
	for _, slot := range t.OwnedBy(nil, target) {
		if s.moveEpochs[slot] <= epoch {
			dst = append(dst, slot)
		}
	}
	return dst
}

// HotKeys iterates over the slots and hashes of the hot keys of service in ascending order of slot.
func (t Table) HotKeys(service string) iter.Seq2[int, uint64] {
	s := t.keySpace(service)
	return func(yield func(int, uint64) bool) {
		if s == nil {
			return
		}
		for i, h := range s.hotSlots {
			if h.used && !yield(s.plainSlots+i, h.hash) {
				return
			}
		}
	}
}

// Targets returns the targets sorted by id. The caller must not modify the slice.
func (t Table) Targets() []Target { return t.targets }

// Target returns the target with the given id.
func (t Table) Target(id string) (Target, bool) {
	i, ok := t.findTarget(id)
	if !ok {
		return Target{}, false
	}
	return t.targets[i], true
}

// Roster returns the daemons sorted by id. The caller must not modify the slice.
func (t Table) Roster() []Member { return t.roster }

// Quarantined returns the quarantined fingerprints in ascending order. The caller must not modify the slice.
func (t Table) Quarantined() []Quarantine { return t.quarantine }

// With returns a copy with the changes applied in order and the epoch incremented.
func (t Table) With(changes ...Change) (Table, error) {
	e := &edit{epoch: t.epoch + 1}
	next := t
	next.edit, next.epoch = e, e.epoch
	next.keySpaces = slices.Clone(t.keySpaces)
	for _, change := range changes {
		if err := change(&next); err != nil {
			return Table{}, err
		}
	}
	next.edit = nil
	return next, nil
}

// copyTargets copies the target lists on the first write of an edit.
func (t *Table) copyTargets() {
	if !t.edit.targetsCopied {
		t.edit.targetsCopied = true
		t.targets, t.idByRef, t.refByID = slices.Clone(t.targets), slices.Clone(t.idByRef), maps.Clone(t.refByID)
	}
}

// copyRoster copies the roster on the first write of an edit.
func (t *Table) copyRoster() {
	if !t.edit.rosterCopied {
		t.edit.rosterCopied = true
		t.roster = slices.Clone(t.roster)
	}
}

// copyQuarantine copies the quarantine list on the first write of an edit.
func (t *Table) copyQuarantine() {
	if !t.edit.quarantineCopied {
		t.edit.quarantineCopied = true
		t.quarantine = slices.Clone(t.quarantine)
	}
}
