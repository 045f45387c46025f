package fulmarslot

import (
	"cmp"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"
)

// Limits of a table.
const (
	maxServices        = 1024
	maxSlots           = 1 << 20 // maximum number of slots of one service, not counting those of hot keys
	maxTotalSlots      = 1 << 21
	maxHotSlots        = 4096 // maximum number of hot key slots of one service, including empty ones
	maxTargets         = 1<<16 - 2
	maxRoster          = 4096
	maxQuarantine      = 128
	maxNameBytes       = 256 // maximum length of a name or an address
	hotSlotReuseEpochs = 64  // number of epochs for which the slot of a removed hot key stays empty
	moveEpochRetention = 256 // number of epochs for which Assignment.MoveEpoch is kept after a move
)

// Change is one modification of a table, to be passed to Table.With.
type Change func(*Table) error

// slotChange returns a change of one slot that checks that the slot exists and wraps errors in a *ChangeError.
func slotChange(op, service string, slot int, name string, apply func(t *Table, s *keySpace, e entry) error) Change {
	return func(t *Table) error {
		err := ErrOutsideWith
		if t.edit != nil {
			err = ErrUnknownService
			if s := t.keySpace(service); s != nil {
				err = ErrUnknownSlot
				if s.inUse(slot) {
					err = apply(t, s, s.entryAt(slot))
				}
			}
		}
		if err != nil {
			return &ChangeError{Op: op, Service: service, Slot: slot, Name: name, Err: err}
		}
		return nil
	}
}

// tableChange returns a change that does not concern a single slot and wraps errors in a *ChangeError.
func tableChange(op, service, name string, apply func(t *Table) error) Change {
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

// writableKeySpace returns the key space of service, copied first if it is shared.
func (t *Table) writableKeySpace(service string) *keySpace {
	i, ok := t.findKeySpace(service)
	if !ok {
		return nil
	}
	if t.keySpaces[i].edit != t.edit {
		t.keySpaces[i] = t.keySpaces[i].copyFor(t.edit)
	}
	return t.keySpaces[i]
}

// ownerRef returns the reference of a target of service, plus one, as an entry stores it: zero means that there is no target.
func (t *Table) ownerRef(service, target string) (uint16, error) {
	i, ok := t.findTarget(target)
	if !ok {
		return 0, ErrUnknownTarget
	}
	if t.targets[i].Service != service {
		return 0, ErrServiceMismatch
	}
	return t.refByID[target] + 1, nil
}

// Assign makes a target the owner of an unowned slot.
func Assign(service string, slot int, target string) Change {
	return slotChange("assign", service, slot, target, func(t *Table, _ *keySpace, e entry) error {
		if e.owner != 0 {
			return ErrSlotOwned
		}
		owner, err := t.ownerRef(service, target)
		if err != nil {
			return err
		}
		t.writableKeySpace(service).setEntry(slot, entry{owner: owner})
		return nil
	})
}

// Move starts to move a slot to the target next. A forced move replaces a move in
// progress. A cooperative one fails if the slot is already moving.
func Move(service string, slot int, next string, forced bool) Change {
	return slotChange("move", service, slot, next, func(t *Table, _ *keySpace, e entry) error {
		to, err := t.ownerRef(service, next)
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
		s := t.writableKeySpace(service)
		s.setEntry(slot, entry{owner: e.owner, next: to, forced: forced})
		s.setMoveEpoch(slot, t.epoch)
		return nil
	})
}

// Commit ends the move of a slot and makes its next target the owner.
func Commit(service string, slot int) Change {
	return slotChange("commit", service, slot, "", func(t *Table, _ *keySpace, e entry) error {
		if e.next == 0 {
			return ErrSlotNotMoving
		}
		t.writableKeySpace(service).setEntry(slot, entry{owner: e.next})
		return nil
	})
}

// CommitAsNewMove is Commit for a move whose former owner may have run requests that
// are missing from the deduplication records. It sets the epoch of the move to this
// epoch, so that the next owner does not use records sent for the earlier epoch.
func CommitAsNewMove(service string, slot int) Change {
	return slotChange("commitafresh", service, slot, "", func(t *Table, _ *keySpace, e entry) error {
		if e.next == 0 {
			return ErrSlotNotMoving
		}
		s := t.writableKeySpace(service)
		s.setEntry(slot, entry{owner: e.next})
		s.setMoveEpoch(slot, t.epoch)
		return nil
	})
}

// Cancel ends the move of a slot and leaves its owner unchanged.
func Cancel(service string, slot int) Change {
	return slotChange("cancel", service, slot, "", func(t *Table, _ *keySpace, e entry) error {
		if e.next == 0 {
			return ErrSlotNotMoving
		}
		s := t.writableKeySpace(service)
		s.setEntry(slot, entry{owner: e.owner})
		delete(s.moveEpochs, slot)
		return nil
	})
}

// AddService adds a service with unassigned slots.
func AddService(service string, slots int) Change {
	return tableChange("addservice", service, "", func(t *Table) error {
		i, ok := t.findKeySpace(service)
		total := slots
		for _, s := range t.keySpaces {
			total += s.plainSlots
		}
		switch {
		case ok:
			return ErrExists
		case !validName(service) || slots < 1 || slots > maxSlots || total > maxTotalSlots || len(t.keySpaces) >= maxServices:
			return ErrLimitExceeded
		}
		t.keySpaces = slices.Insert(t.keySpaces, i, newKeySpace(t.edit, service, slots))
		return nil
	})
}

// validName reports whether s is a valid name of a service, target or member.
func validName(s string) bool { return s != "" && validStrings(s) }

// validStrings reports whether all values are valid UTF-8 of at most maxNameBytes.
func validStrings(values ...string) bool {
	for _, v := range values {
		if len(v) > maxNameBytes || !utf8.ValidString(v) {
			return false
		}
	}
	return true
}

// PutTarget adds or replaces a target. The service of a target that owns slots, or to which slots are moving, cannot change.
func PutTarget(target Target) Change {
	return tableChange("puttarget", "", target.ID, func(t *Table) error {
		switch {
		case !validName(target.ID) || !validStrings(target.Address, target.DataCentre, target.Dispatcher):
			return ErrLimitExceeded
		case t.keySpace(target.Service) == nil:
			return ErrUnknownService
		}
		i, ok := t.findTarget(target.ID)
		if ok && t.targets[i].Service != target.Service && t.hasSlots(target.ID) {
			return ErrTargetInUse
		}
		t.copyTargets()
		if ok {
			t.targets[i] = target
			return nil
		}
		if !t.addReference(target.ID) {
			return ErrLimitExceeded
		}
		t.targets = slices.Insert(t.targets, i, target)
		return nil
	})
}

// addReference assigns a free reference to a target. It returns false if there is none.
func (t *Table) addReference(id string) bool {
	ref := len(t.targets)
	if ref >= maxTargets {
		return false
	}
	if len(t.idByRef) > len(t.targets) { // a removed target left a free reference
		ref = slices.Index(t.idByRef, "")
	} else {
		t.idByRef = append(t.idByRef, "")
	}
	if t.refByID == nil {
		t.refByID = map[string]uint16{}
	}
	t.idByRef[ref], t.refByID[id] = id, uint16(ref)
	return true
}

// hasSlots reports whether a target owns slots or slots are moving to it.
func (t *Table) hasSlots(id string) bool {
	owned, outgoing, incoming := t.SlotCounts(id)
	return owned+outgoing+incoming > 0
}

// RemoveTarget removes a target that owns no slots and to which none are moving.
func RemoveTarget(id string) Change {
	return tableChange("removetarget", "", id, func(t *Table) error {
		i, ok := t.findTarget(id)
		switch {
		case !ok:
			return ErrUnknownTarget
		case t.hasSlots(id):
			return ErrTargetInUse
		}
		t.copyTargets()
		t.targets = slices.Delete(t.targets, i, i+1)
		t.idByRef[t.refByID[id]] = ""
		delete(t.refByID, id)
		return nil
	})
}

// PutMember adds or replaces a daemon in the roster.
func PutMember(member Member) Change {
	return tableChange("putmember", "", member.ID, func(t *Table) error {
		i, ok := t.findMember(member.ID)
		switch {
		case !validName(member.ID) || !validStrings(member.ControlAddress, member.DataAddress, member.DataCentre):
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
	return tableChange("removemember", "", id, func(t *Table) error {
		i, ok := t.findMember(id)
		if !ok {
			return ErrUnknownMember
		}
		t.copyRoster()
		t.roster = slices.Delete(t.roster, i, i+1)
		return nil
	})
}

// AddHotKey gives the key with the given hash its own slot. The slot gets the owner
// of the key's plain slot, which must not be moving.
func AddHotKey(service string, hash uint64) Change {
	return tableChange("puthot", service, "", func(t *Table) error {
		s := t.keySpace(service)
		if s == nil {
			return ErrUnknownService
		}
		if _, ok := s.hotIndex[hash]; ok {
			return ErrExists
		}
		parent := s.entryAt(s.slotOf(hash))
		if parent.next != 0 {
			return ErrSlotMoving
		}
		s = t.writableKeySpace(service)
		slot, ok := s.addHotKey(hash, t.epoch)
		if !ok {
			return ErrLimitExceeded
		}
		s.setEntry(slot, parent)
		return nil
	})
}

// RemoveHotKey returns a hot key to its plain slot. Both slots must have the same owner and must not be moving.
func RemoveHotKey(service string, hash uint64) Change {
	return tableChange("removehot", service, "", func(t *Table) error {
		s := t.keySpace(service)
		if s == nil {
			return ErrUnknownService
		}
		slot, ok := s.hotIndex[hash]
		if !ok {
			return ErrUnknownHotKey
		}
		child, parent := s.entryAt(slot), s.entryAt(int(hash%uint64(s.plainSlots)))
		switch {
		case child.next != 0 || parent.next != 0:
			return ErrSlotMoving
		case child.owner != parent.owner:
			return ErrOwnerMismatch
		}
		t.writableKeySpace(service).removeHotKey(slot, t.epoch)
		return nil
	})
}

// PutQuarantine adds or replaces the quarantine entry of a fingerprint.
func PutQuarantine(q Quarantine) Change {
	return tableChange("putquarantine", "", strconv.FormatUint(q.Fingerprint, 16), func(t *Table) error {
		q.Until = q.Until.UTC().Truncate(time.Millisecond)
		i, ok := t.findQuarantine(q.Fingerprint)
		switch {
		case q.Until.UnixMilli() < -maxUnixMilli || q.Until.UnixMilli() > maxUnixMilli:
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

func (t *Table) findQuarantine(fingerprint uint64) (int, bool) {
	return slices.BinarySearchFunc(t.quarantine, fingerprint, func(q Quarantine, f uint64) int { return cmp.Compare(q.Fingerprint, f) })
}

// RemoveQuarantine removes the quarantine entry of a fingerprint.
func RemoveQuarantine(fingerprint uint64) Change {
	return tableChange("lift", "", strconv.FormatUint(fingerprint, 16), func(t *Table) error {
		i, ok := t.findQuarantine(fingerprint)
		if !ok {
			return ErrNotQuarantined
		}
		t.copyQuarantine()
		t.quarantine = slices.Delete(t.quarantine, i, i+1)
		return nil
	})
}
