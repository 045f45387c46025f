package fulmarslot

import (
	"cmp"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"
)

// Bounds of a table.
const (
	maxServices   = 1024
	maxSlots      = 1 << 20 // plain slots of one service
	maxAllSlots   = 1 << 21
	maxHot        = 4096 // slots of hot keys of one service, empty ones included
	maxTargets    = 1<<16 - 2
	maxRoster     = 4096
	maxQuarantine = 128
	maxName       = 256 // bytes of a name or an address
	reuse         = 64  // epochs for which the slot of a removed hot key stays empty
	remember      = 256 // epochs for which the start of a move is kept
)

// Change is one modification of a table.
type Change func(*Table) error

// slotChange wraps a modification of one slot with its checks.
func slotChange(op, service string, slot int, name string, apply func(t *Table, s *space, e entry) error) Change {
	return func(t *Table) error {
		err := ErrOutsideWith
		if t.edit != nil {
			err = ErrUnknownService
			if s := t.space(service); s != nil {
				err = ErrUnknownSlot
				if s.valid(slot) {
					err = apply(t, s, s.at(slot))
				}
			}
		}
		if err != nil {
			return &ChangeError{Op: op, Service: service, Slot: slot, Name: name, Err: err}
		}
		return nil
	}
}

// change wraps a modification that concerns no single slot.
func change(op, service, name string, apply func(t *Table) error) Change {
	return func(t *Table) error {
		err := ErrOutsideWith
		if t.edit != nil {
			err = apply(t)
		}
		if err != nil {
			return &ChangeError{Op: op, Service: service, Slot: -1, Name: name, Err: err}
		}
		return nil
	}
}

// writable returns the key space of service after copying it if it is shared.
func (t *Table) writable(service string) *space {
	i, ok := t.findSpace(service)
	if !ok {
		return nil
	}
	if t.spaces[i].edit != t.edit {
		t.spaces[i] = t.spaces[i].copyFor(t.edit)
	}
	return t.spaces[i]
}

// reference returns the reference of a target of service, plus one.
func (t *Table) reference(service, target string) (uint16, error) {
	i, ok := t.findTarget(target)
	if !ok {
		return 0, ErrUnknownTarget
	}
	if t.targets[i].Service != service {
		return 0, ErrServiceMismatch
	}
	return t.refs[target] + 1, nil
}

// Assign gives an unowned slot to a target.
func Assign(service string, slot int, target string) Change {
	return slotChange("assign", service, slot, target, func(t *Table, _ *space, e entry) error {
		if e.owner != 0 {
			return ErrSlotOwned
		}
		owner, err := t.reference(service, target)
		if err != nil {
			return err
		}
		t.writable(service).set(slot, entry{owner: owner})
		return nil
	})
}

// Move starts to move a slot to the target next. A forced move replaces the move of
// a slot that is moving already; a cooperative one does not.
func Move(service string, slot int, next string, forced bool) Change {
	return slotChange("move", service, slot, next, func(t *Table, _ *space, e entry) error {
		to, err := t.reference(service, next)
		switch {
		case err != nil:
			return err
		case e.owner == 0:
			return ErrSlotUnowned
		case e.owner == to:
			return ErrSameTarget
		case e.next != 0 && !forced:
			return ErrSlotMoving
		}
		s := t.writable(service)
		s.set(slot, entry{owner: e.owner, next: to, forced: forced})
		s.started(slot, t.epoch)
		return nil
	})
}

// Commit ends the move of a slot with its next target as owner.
func Commit(service string, slot int) Change {
	return slotChange("commit", service, slot, "", func(t *Table, _ *space, e entry) error {
		if e.next == 0 {
			return ErrSlotNotMoving
		}
		t.writable(service).set(slot, entry{owner: e.next})
		return nil
	})
}

// CommitAfresh is Commit for a move whose former owner may have run requests that
// no memory covers: it counts as started in this epoch, so that request memory
// which was sent for the move is not used.
func CommitAsNewMove(service string, slot int) Change {
	return slotChange("commitafresh", service, slot, "", func(t *Table, _ *space, e entry) error {
		if e.next == 0 {
			return ErrSlotNotMoving
		}
		s := t.writable(service)
		s.set(slot, entry{owner: e.next})
		s.started(slot, t.epoch)
		return nil
	})
}

// Cancel ends the move of a slot with its owner unchanged.
func Cancel(service string, slot int) Change {
	return slotChange("cancel", service, slot, "", func(t *Table, _ *space, e entry) error {
		if e.next == 0 {
			return ErrSlotNotMoving
		}
		s := t.writable(service)
		s.set(slot, entry{owner: e.owner})
		delete(s.since, slot)
		return nil
	})
}

// AddService adds a service with unassigned slots.
func AddService(service string, slots int) Change {
	return change("addservice", service, "", func(t *Table) error {
		i, ok := t.findSpace(service)
		total := slots
		for _, s := range t.spaces {
			total += s.plain
		}
		switch {
		case ok:
			return ErrExists
		case !named(service) || slots < 1 || slots > maxSlots || total > maxAllSlots || len(t.spaces) >= maxServices:
			return ErrLimitExceeded
		}
		t.spaces = slices.Insert(t.spaces, i, newSpace(t.edit, service, slots))
		return nil
	})
}

// named reports whether s can name a service, target or member.
func named(s string) bool { return s != "" && short(s) }

// short reports whether all values can be stored, which takes valid UTF-8.
func short(values ...string) bool {
	for _, v := range values {
		if len(v) > maxName || !utf8.ValidString(v) {
			return false
		}
	}
	return true
}

// PutTarget adds or replaces a target. A target that owns or awaits slots keeps its service.
func PutTarget(target Target) Change {
	return change("puttarget", "", target.ID, func(t *Table) error {
		switch {
		case !named(target.ID) || !short(target.Address, target.DataCentre, target.Dispatcher):
			return ErrLimitExceeded
		case t.space(target.Service) == nil:
			return ErrUnknownService
		}
		i, ok := t.findTarget(target.ID)
		if ok && t.targets[i].Service != target.Service && t.busy(target.ID) {
			return ErrTargetInUse
		}
		t.copyTargets()
		if ok {
			t.targets[i] = target
			return nil
		}
		if !t.name(target.ID) {
			return ErrLimitExceeded
		}
		t.targets = slices.Insert(t.targets, i, target)
		return nil
	})
}

// name gives a target a reference.
func (t *Table) name(id string) bool {
	ref := len(t.targets)
	if ref >= maxTargets {
		return false
	}
	if len(t.names) > len(t.targets) { // a reference is free
		ref = slices.Index(t.names, "")
	} else {
		t.names = append(t.names, "")
	}
	if t.refs == nil {
		t.refs = map[string]uint16{}
	}
	t.names[ref], t.refs[id] = id, uint16(ref)
	return true
}

// busy reports whether a target owns or awaits slots.
func (t *Table) busy(id string) bool {
	owned, away, incoming := t.SlotCounts(id)
	return owned+away+incoming > 0
}

// RemoveTarget removes a target that owns no slot.
func RemoveTarget(id string) Change {
	return change("removetarget", "", id, func(t *Table) error {
		i, ok := t.findTarget(id)
		switch {
		case !ok:
			return ErrUnknownTarget
		case t.busy(id):
			return ErrTargetInUse
		}
		t.copyTargets()
		t.targets = slices.Delete(t.targets, i, i+1)
		t.names[t.refs[id]] = ""
		delete(t.refs, id)
		return nil
	})
}

// PutMember adds or replaces a daemon of the roster.
func PutMember(member Member) Change {
	return change("putmember", "", member.ID, func(t *Table) error {
		i, ok := t.findMember(member.ID)
		switch {
		case !named(member.ID) || !short(member.ControlAddress, member.DataAddress, member.DataCentre):
			return ErrLimitExceeded
		case ok && member.Incarnation < t.roster[i].Incarnation:
			return ErrStaleIncarnation
		case !ok && len(t.roster) >= maxRoster:
			return ErrLimitExceeded
		}
		t.copyRoster()
		if ok {
			t.roster[i] = member
			return nil
		}
		t.roster = slices.Insert(t.roster, i, member)
		return nil
	})
}

// RemoveMember removes a daemon from the roster.
func RemoveMember(id string) Change {
	return change("removemember", "", id, func(t *Table) error {
		i, ok := t.findMember(id)
		if !ok {
			return ErrUnknownMember
		}
		t.copyRoster()
		t.roster = slices.Delete(t.roster, i, i+1)
		return nil
	})
}

// PutHot gives the key with the hash a slot of its own, owned by the owner of its
// plain slot, which must not be moving.
func AddHotKey(service string, hash uint64) Change {
	return change("puthot", service, "", func(t *Table) error {
		s := t.space(service)
		if s == nil {
			return ErrUnknownService
		}
		if _, ok := s.index[hash]; ok {
			return ErrExists
		}
		parent := s.at(s.place(hash))
		if parent.next != 0 {
			return ErrSlotMoving
		}
		s = t.writable(service)
		slot, ok := s.addHot(hash, t.epoch)
		if !ok {
			return ErrLimitExceeded
		}
		s.set(slot, parent)
		return nil
	})
}

// RemoveHot returns a hot key to its plain slot; both must have the same owner and not be moving.
func RemoveHotKey(service string, hash uint64) Change {
	return change("removehot", service, "", func(t *Table) error {
		s := t.space(service)
		if s == nil {
			return ErrUnknownService
		}
		slot, ok := s.index[hash]
		if !ok {
			return ErrUnknownHot
		}
		child, parent := s.at(slot), s.at(int(hash%uint64(s.plain)))
		switch {
		case child.next != 0 || parent.next != 0:
			return ErrSlotMoving
		case child.owner != parent.owner:
			return ErrOwnerMismatch
		}
		t.writable(service).removeHot(slot, t.epoch)
		return nil
	})
}

// PutQuarantine adds or replaces the quarantine of a fingerprint.
func PutQuarantine(q Quarantine) Change {
	return change("putquarantine", "", strconv.FormatUint(q.Fingerprint, 16), func(t *Table) error {
		q.Until = q.Until.UTC().Truncate(time.Millisecond)
		i, ok := t.findMark(q.Fingerprint)
		switch {
		case q.Until.UnixMilli() < -maxMilli || q.Until.UnixMilli() > maxMilli:
			return ErrLimitExceeded
		case !ok && len(t.quarantine) >= maxQuarantine:
			return ErrLimitExceeded
		}
		t.copyQuarantine()
		if ok {
			t.quarantine[i] = q
			return nil
		}
		t.quarantine = slices.Insert(t.quarantine, i, q)
		return nil
	})
}

func (t *Table) findMark(fingerprint uint64) (int, bool) {
	return slices.BinarySearchFunc(t.quarantine, fingerprint, func(q Quarantine, f uint64) int { return cmp.Compare(q.Fingerprint, f) })
}

// Lift ends the quarantine of a fingerprint.
func RemoveQuarantine(fingerprint uint64) Change {
	return change("lift", "", strconv.FormatUint(fingerprint, 16), func(t *Table) error {
		i, ok := t.findMark(fingerprint)
		if !ok {
			return ErrNotQuarantined
		}
		t.copyQuarantine()
		t.quarantine = slices.Delete(t.quarantine, i, i+1)
		return nil
	})
}
