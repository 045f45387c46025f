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

// Assignment is the ownership of one slot; Next is set while the slot moves.
type Assignment struct {
	Owner     string `cbor:"owner"`
	Next      string `cbor:"next,omitempty"`
	Forced    bool   `cbor:"forced,omitempty"`
	MoveEpoch uint64 `cbor:"since,omitempty"` // epoch in which the last move started, kept for a while after its commit
}

// Target is a back-end server that owns slots of one service.
type Target struct {
	ID         string `cbor:"id"`
	Service    string `cbor:"service"`
	Address    string `cbor:"address"`
	DataCentre string `cbor:"dc"`
	Dispatcher string `cbor:"dispatcher,omitempty"` // set only for targets that check no fence
	Fenced     bool   `cbor:"fenced"`
	Leaving    bool   `cbor:"leaving,omitempty"`
}

// Member is a daemon of the roster.
type Member struct {
	ID             string `cbor:"id"`
	Incarnation    uint64 `cbor:"incarnation"`
	ControlAddress string `cbor:"control"` // host:port of the drpc listener
	DataAddress    string `cbor:"data"`    // host:port of the peer HTTP listener
	DataCentre     string `cbor:"dc"`
}

// Quarantine marks a request fingerprint as suspect or condemned until a time.
type Quarantine struct {
	Fingerprint uint64    `cbor:"fingerprint"`
	Condemned   bool      `cbor:"condemned"`
	Until       time.Time `cbor:"until"`
}

// Table is an immutable slot table.
type Table struct {
	epoch      uint64
	edit       *edit    // set only while With applies changes
	spaces     []*space // ascending by name
	targets    []Target // ascending by id
	names      []string // by reference, empty if the reference is free
	refs       map[string]uint16
	roster     []Member // ascending by id
	quarantine []Quarantine
}

// New returns a table of epoch 1 with the given number of unassigned slots for each service.
// It panics if a name or a number of slots exceeds the bounds of the package.
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

// Epoch returns the number of the table's version.
func (t Table) Epoch() uint64 { return t.epoch }

// Services returns the names of the services in order.
func (t Table) Services() []string {
	names := make([]string, len(t.spaces))
	for i, s := range t.spaces {
		names[i] = s.name
	}
	return names
}

// space returns the key space of a service, nil if there is none.
func (t *Table) space(service string) *space {
	i, ok := t.findSpace(service)
	if !ok {
		return nil
	}
	return t.spaces[i]
}

func (t *Table) findSpace(service string) (int, bool) {
	return slices.BinarySearchFunc(t.spaces, service, func(s *space, name string) int { return cmp.Compare(s.name, name) })
}

func (t *Table) findTarget(id string) (int, bool) {
	return slices.BinarySearchFunc(t.targets, id, func(x Target, id string) int { return cmp.Compare(x.ID, id) })
}

func (t *Table) findMember(id string) (int, bool) {
	return slices.BinarySearchFunc(t.roster, id, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
}

// Slots returns the number of slots of service, those of hot keys included.
func (t Table) Slots(service string) int {
	if s := t.space(service); s != nil {
		return s.len()
	}
	return 0
}

// Plain returns the number of slots of service without those of hot keys.
func (t Table) PlainSlots(service string) int {
	if s := t.space(service); s != nil {
		return s.plain
	}
	return 0
}

// Hash returns the hash by which Slot places a key.
func KeyHash(service, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write(separator[:])
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// separator keeps a service name and a key from being read as another pair.
var separator = [1]byte{0}

// Slot returns the slot of key and whether the service exists.
func (t Table) Slot(service, key string) (int, bool) {
	s := t.space(service)
	if s == nil {
		return 0, false
	}
	return s.place(KeyHash(service, key)), true
}

// Hot returns the slot of the hot key with the hash.
func (t Table) HotKeySlot(service string, hash uint64) (int, bool) {
	s := t.space(service)
	if s == nil {
		return 0, false
	}
	slot, ok := s.index[hash]
	return slot, ok
}

// Parent returns the plain slot and the key hash of a hot key's slot.
func (t Table) ParentSlot(service string, slot int) (parent int, hash uint64, ok bool) {
	s := t.space(service)
	if s == nil || slot < s.plain || !s.valid(slot) {
		return 0, 0, false
	}
	hash = s.hots[slot-s.plain].hash
	return int(hash % uint64(s.plain)), hash, true
}

// Assignment returns the ownership of a slot; it panics if slot is out of range.
func (t Table) Assignment(service string, slot int) Assignment {
	s := t.space(service)
	if s == nil || slot < 0 || slot >= s.len() {
		panic(fmt.Sprintf("fulmarslot: no slot %d in service %q", slot, service))
	}
	return t.assignment(s, slot)
}

func (t *Table) assignment(s *space, slot int) Assignment {
	e := s.at(slot)
	a := Assignment{Forced: e.forced, MoveEpoch: s.since[slot]}
	if e.owner != 0 {
		a.Owner = t.names[e.owner-1]
	}
	if e.next != 0 {
		a.Next = t.names[e.next-1]
	}
	return a
}

// OwnedBy appends to dst the slots that target owns and that are not moving away.
func (t Table) OwnedBy(dst []int, target string) []int {
	s, owner := t.home(target)
	if s == nil || s.counts(owner).owned == 0 {
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

// MovingFrom appends to dst the slots that move away from target.
func (t Table) MovingFrom(dst []int, target string) []int {
	s, owner := t.home(target)
	if s == nil || s.counts(owner).away == 0 {
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

// home returns the key space of a target and its reference plus one.
func (t *Table) home(target string) (*space, uint16) {
	i, ok := t.findTarget(target)
	if !ok {
		return nil, 0
	}
	return t.space(t.targets[i].Service), t.refs[target] + 1
}

func (s *space) counts(owner uint16) tally {
	if int(owner) > len(s.tally) {
		return tally{}
	}
	return s.tally[owner-1]
}

// Count returns how many slots target owns without moving away, how many move away from it and how many move to it.
func (t Table) SlotCounts(target string) (owned, away, incoming int) {
	s, owner := t.home(target)
	if s == nil {
		return 0, 0, 0
	}
	n := s.counts(owner)
	return n.owned, n.away, n.incoming
}

// Moving returns the moving slots of service in order.
func (t Table) MovingSlots(service string) iter.Seq2[int, Assignment] {
	return t.scan(service, func(c *chunk) int { return c.moving }, func(e entry) bool { return e.next != 0 })
}

// Unowned returns the slots of service without an owner in order.
func (t Table) UnownedSlots(service string) iter.Seq2[int, Assignment] {
	return t.scan(service, func(c *chunk) int { return c.unowned }, func(e entry) bool { return e.owner == 0 })
}

// scan returns the slots that match in the chunks where count is not zero.
func (t Table) scan(service string, count func(*chunk) int, match func(entry) bool) iter.Seq2[int, Assignment] {
	s := t.space(service)
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
				if match(e) && s.valid(slot) && !yield(slot, t.assignment(s, slot)) {
					return
				}
			}
		}
	}
}

// Steady appends to dst the slots that target owns and whose keys it has owned
// since the epoch, as far as the table remembers: the slot did not start to move
// to it later, and no hot key returned to a plain slot of its service later.
func (t Table) OwnedSince(dst []int, target string, epoch uint64) []int {
	s, _ := t.home(target)
	if s == nil || epoch > t.epoch || t.epoch-epoch >= reuse {
		return dst
	}
	for _, h := range s.hots {
		if !h.used && h.freed > epoch {
			return dst
		}
	}
	for _, slot := range t.OwnedBy(nil, target) {
		if s.since[slot] <= epoch {
			dst = append(dst, slot)
		}
	}
	return dst
}

// HotKeys returns the slots and hashes of the hot keys of service in order of slot.
func (t Table) HotKeys(service string) iter.Seq2[int, uint64] {
	s := t.space(service)
	return func(yield func(int, uint64) bool) {
		if s == nil {
			return
		}
		for i, h := range s.hots {
			if h.used && !yield(s.plain+i, h.hash) {
				return
			}
		}
	}
}

// Targets returns the targets in order of id; the caller must not modify the slice.
func (t Table) Targets() []Target { return t.targets }

// Target returns the target named id.
func (t Table) Target(id string) (Target, bool) {
	i, ok := t.findTarget(id)
	if !ok {
		return Target{}, false
	}
	return t.targets[i], true
}

// Roster returns the daemons in order of id; the caller must not modify the slice.
func (t Table) Roster() []Member { return t.roster }

// Quarantined returns the fingerprints under quarantine; the caller must not modify the slice.
func (t Table) Quarantined() []Quarantine { return t.quarantine }

// With returns a copy with the changes applied and the epoch raised by one.
func (t Table) With(changes ...Change) (Table, error) {
	e := &edit{epoch: t.epoch + 1}
	next := t
	next.edit, next.epoch = e, e.epoch
	next.spaces = slices.Clone(t.spaces)
	for _, change := range changes {
		if err := change(&next); err != nil {
			return Table{}, err
		}
	}
	next.edit = nil
	return next, nil
}

// copyTargets copies the lists of targets once for each edit.
func (t *Table) copyTargets() {
	if !t.edit.targets {
		t.edit.targets = true
		t.targets, t.names, t.refs = slices.Clone(t.targets), slices.Clone(t.names), maps.Clone(t.refs)
	}
}

// copyRoster copies the roster once for each edit.
func (t *Table) copyRoster() {
	if !t.edit.roster {
		t.edit.roster = true
		t.roster = slices.Clone(t.roster)
	}
}

// copyQuarantine copies the quarantine once for each edit.
func (t *Table) copyQuarantine() {
	if !t.edit.quarantine {
		t.edit.quarantine = true
		t.quarantine = slices.Clone(t.quarantine)
	}
}
