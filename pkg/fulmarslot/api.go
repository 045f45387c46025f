package fulmarslot

import "time"

// Assignment is the ownership of one slot; Next is set while the slot moves.
type Assignment struct {
	Owner  string `cbor:"owner"`
	Next   string `cbor:"next,omitempty"`
	Forced bool   `cbor:"forced,omitempty"`
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
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"`
	Control     string `cbor:"control"` // host:port of the drpc listener
	Data        string `cbor:"data"`    // host:port of the peer HTTP listener
	DataCentre  string `cbor:"dc"`
}

// Quarantine marks a request fingerprint as suspect or condemned until a time.
type Quarantine struct {
	Fingerprint uint64    `cbor:"fingerprint"`
	Condemned   bool      `cbor:"condemned"`
	Until       time.Time `cbor:"until"`
}

// Table is an immutable slot table.
type Table struct {
	epoch uint64
}

// Change is one modification of a table.
type Change func(*Table) error

// New returns a table of epoch 1 with the given number of unassigned slots for each service.
func New(services map[string]int) Table { panic("fulmarslot: not implemented") }

// Decode parses a table from its binary form.
func Decode(b []byte) (Table, error) { panic("fulmarslot: not implemented") }

// MarshalBinary returns the binary form of the table.
func (t Table) MarshalBinary() ([]byte, error) { panic("fulmarslot: not implemented") }

// Epoch returns the number of the table's version.
func (t Table) Epoch() uint64 { return t.epoch }

// Services returns the names of the services in order.
func (t Table) Services() []string { panic("fulmarslot: not implemented") }

// Slots returns the number of slots of service, those of hot keys included.
func (t Table) Slots(service string) int { panic("fulmarslot: not implemented") }

// Hash returns the hash by which Slot places a key.
func Hash(service, key string) uint64 { panic("fulmarslot: not implemented") }

// Slot returns the slot of key and whether the service exists.
func (t Table) Slot(service, key string) (int, bool) { panic("fulmarslot: not implemented") }

// Parent returns the plain slot and the key hash of a hot key's slot.
func (t Table) Parent(service string, slot int) (parent int, hash uint64, ok bool) {
	panic("fulmarslot: not implemented")
}

// Assignment returns the ownership of a slot; it panics if slot is out of range.
func (t Table) Assignment(service string, slot int) Assignment { panic("fulmarslot: not implemented") }

// OwnedBy appends to dst the slots that target owns and that are not moving away.
func (t Table) OwnedBy(dst []int, target string) []int { panic("fulmarslot: not implemented") }

// MovingFrom appends to dst the slots that move away from target.
func (t Table) MovingFrom(dst []int, target string) []int { panic("fulmarslot: not implemented") }

// Targets returns the targets in order of id; the caller must not modify the slice.
func (t Table) Targets() []Target { panic("fulmarslot: not implemented") }

// Target returns the target named id.
func (t Table) Target(id string) (Target, bool) { panic("fulmarslot: not implemented") }

// Roster returns the daemons in order of id; the caller must not modify the slice.
func (t Table) Roster() []Member { panic("fulmarslot: not implemented") }

// Quarantined returns the fingerprints under quarantine; the caller must not modify the slice.
func (t Table) Quarantined() []Quarantine { panic("fulmarslot: not implemented") }

// With returns a copy with the changes applied and the epoch raised by one.
func (t Table) With(changes ...Change) (Table, error) { panic("fulmarslot: not implemented") }

// Assign gives an unowned slot to a target.
func Assign(service string, slot int, target string) Change { panic("fulmarslot: not implemented") }

// Move starts to move a slot to the target next.
func Move(service string, slot int, next string, forced bool) Change {
	panic("fulmarslot: not implemented")
}

// Commit ends the move of a slot with its next target as owner.
func Commit(service string, slot int) Change { panic("fulmarslot: not implemented") }

// Cancel ends the move of a slot with its owner unchanged.
func Cancel(service string, slot int) Change { panic("fulmarslot: not implemented") }

// AddService adds a service with unassigned slots.
func AddService(service string, slots int) Change { panic("fulmarslot: not implemented") }

// PutTarget adds or replaces a target.
func PutTarget(target Target) Change { panic("fulmarslot: not implemented") }

// RemoveTarget removes a target that owns no slot.
func RemoveTarget(id string) Change { panic("fulmarslot: not implemented") }

// PutMember adds or replaces a daemon of the roster.
func PutMember(member Member) Change { panic("fulmarslot: not implemented") }

// RemoveMember removes a daemon from the roster.
func RemoveMember(id string) Change { panic("fulmarslot: not implemented") }

// PutHot gives the key with the hash a slot of its own, owned by the owner of its plain slot.
func PutHot(service string, hash uint64) Change { panic("fulmarslot: not implemented") }

// RemoveHot returns a hot key to its plain slot; both must have the same owner and not be moving.
func RemoveHot(service string, hash uint64) Change { panic("fulmarslot: not implemented") }

// PutQuarantine adds or replaces the quarantine of a fingerprint.
func PutQuarantine(q Quarantine) Change { panic("fulmarslot: not implemented") }

// Lift ends the quarantine of a fingerprint.
func Lift(fingerprint uint64) Change { panic("fulmarslot: not implemented") }
