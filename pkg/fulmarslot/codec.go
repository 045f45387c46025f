package fulmarslot

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxBytes bounds the binary form: two bytes for each of maxAllSlots and as much again for moves and lists.
const maxBytes = 8 << 20

// The binary form of a table.
type (
	wireTable struct {
		Epoch      uint64           `cbor:"epoch"`
		Services   []wireService    `cbor:"services"`
		Targets    []Target         `cbor:"targets"`
		Roster     []Member         `cbor:"roster"`
		Quarantine []wireQuarantine `cbor:"quarantine"`
	}
	wireService struct {
		Name   string    `cbor:"name"`
		Slots  int       `cbor:"slots"`
		Owners []byte    `cbor:"owners"` // for each slot, the index of its owner among the service's targets plus one, big-endian
		Moves  []byte    `cbor:"moves"`  // for each moving slot, the varints of its distance from the last one and of 2*next+forced
		Since  []byte    `cbor:"since"`  // for each slot with a recent move, the varints of its distance from the last one and of the start's epoch
		Hot    []wireHot `cbor:"hot"`
	}
	wireHot struct {
		_     struct{} `cbor:",toarray"`
		Hash  uint64
		Used  bool
		Freed uint64
	}
	wireQuarantine struct {
		Fingerprint uint64 `cbor:"fingerprint"`
		Condemned   bool   `cbor:"condemned"`
		Until       int64  `cbor:"until"` // milliseconds since 1970
	}
)

var (
	encoder = mustMode(encOptions().EncMode())
	decoder = mustMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxNestedLevels:   8,
		MaxArrayElements:  maxTargets + 1,
		MaxMapPairs:       16,
	}.DecMode())
)

// encOptions writes no null, so that equal tables have one binary form.
func encOptions() cbor.EncOptions {
	o := cbor.CoreDetEncOptions()
	o.NilContainers = cbor.NilContainerAsEmpty
	return o
}

func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// MarshalBinary returns the binary form of the table.
func (t Table) MarshalBinary() ([]byte, error) {
	w := wireTable{
		Epoch: t.epoch, Targets: t.targets, Roster: t.roster,
		Services: make([]wireService, len(t.spaces)), Quarantine: make([]wireQuarantine, len(t.quarantine)),
	}
	for i, s := range t.spaces {
		w.Services[i] = t.encodeSpace(s)
	}
	for i, q := range t.quarantine {
		w.Quarantine[i] = wireQuarantine{Fingerprint: q.Fingerprint, Condemned: q.Condemned, Until: q.Until.UnixMilli()}
	}
	return encoder.Marshal(w)
}

// locals returns the targets of a service in order of id.
func (t *Table) locals(service string) []string {
	var ids []string
	for i := range t.targets {
		if t.targets[i].Service == service {
			ids = append(ids, t.targets[i].ID)
		}
	}
	return ids
}

func (t *Table) encodeSpace(s *space) wireService {
	local := make([]uint16, len(t.names)+1) // from reference plus one to index plus one
	ids := t.locals(s.name)
	for i, id := range ids {
		local[t.refs[id]+1] = uint16(i + 1)
	}
	w := wireService{Name: s.name, Slots: s.plain, Owners: make([]byte, 0, s.len()*width(len(ids)))}
	last := 0
	for slot := range s.len() {
		e := s.at(slot)
		if len(ids) > 0xfe {
			w.Owners = binary.BigEndian.AppendUint16(w.Owners, local[e.owner])
		} else {
			w.Owners = append(w.Owners, byte(local[e.owner]))
		}
		if e.next != 0 {
			code := uint64(local[e.next]) << 1
			if e.forced {
				code |= 1
			}
			w.Moves = binary.AppendUvarint(w.Moves, uint64(slot-last))
			w.Moves = binary.AppendUvarint(w.Moves, code)
			last = slot
		}
	}
	last = 0
	for _, slot := range slices.Sorted(maps.Keys(s.since)) {
		w.Since = binary.AppendUvarint(w.Since, uint64(slot-last))
		w.Since = binary.AppendUvarint(w.Since, s.since[slot])
		last = slot
	}
	for _, h := range s.hots {
		w.Hot = append(w.Hot, wireHot{Hash: h.hash, Used: h.used, Freed: h.freed})
	}
	return w
}

// width returns the number of bytes of an owner.
func width(targets int) int {
	if targets > 0xfe {
		return 2
	}
	return 1
}

// Decode parses a table from its binary form.
func Decode(b []byte) (Table, error) {
	if len(b) > maxBytes {
		return Table{}, &DecodeError{Reason: "too long"}
	}
	var w wireTable
	if err := decoder.Unmarshal(b, &w); err != nil {
		return Table{}, &DecodeError{Reason: "not a table", Err: err}
	}
	if w.Epoch == 0 {
		return Table{}, &DecodeError{Reason: "no epoch"}
	}
	t := Table{epoch: w.Epoch, edit: &edit{epoch: w.Epoch}}
	if err := t.decodeLists(&w); err != nil {
		return Table{}, err
	}
	for i := range w.Services {
		if reason := t.decodeSpace(&w.Services[i]); reason != "" {
			return Table{}, &DecodeError{Reason: "service " + w.Services[i].Name + ": " + reason}
		}
	}
	t.edit = nil
	return t, nil
}

// decodeLists adds services, targets, members and quarantine with the checks of the changes.
func (t *Table) decodeLists(w *wireTable) error {
	for i, s := range w.Services {
		if i > 0 && s.Name <= w.Services[i-1].Name {
			return &DecodeError{Reason: "services out of order"}
		}
		if len(s.Owners) < s.Slots {
			return &DecodeError{Reason: "owners are missing"}
		}
		if err := AddService(s.Name, s.Slots)(t); err != nil {
			return &DecodeError{Reason: "service", Err: err}
		}
	}
	for i, x := range w.Targets {
		if i > 0 && x.ID <= w.Targets[i-1].ID {
			return &DecodeError{Reason: "targets out of order"}
		}
		if err := PutTarget(x)(t); err != nil {
			return &DecodeError{Reason: "target", Err: err}
		}
	}
	for i, m := range w.Roster {
		if i > 0 && m.ID <= w.Roster[i-1].ID {
			return &DecodeError{Reason: "roster out of order"}
		}
		if err := PutMember(m)(t); err != nil {
			return &DecodeError{Reason: "member", Err: err}
		}
	}
	return t.decodeQuarantine(w.Quarantine)
}

func (t *Table) decodeQuarantine(marks []wireQuarantine) error {
	for i, q := range marks {
		if i > 0 && q.Fingerprint <= marks[i-1].Fingerprint {
			return &DecodeError{Reason: "quarantine out of order"}
		}
		if q.Until < -maxMilli || q.Until > maxMilli {
			return &DecodeError{Reason: "time of quarantine out of range"}
		}
		mark := Quarantine{Fingerprint: q.Fingerprint, Condemned: q.Condemned, Until: time.UnixMilli(q.Until)}
		if err := PutQuarantine(mark)(t); err != nil {
			return &DecodeError{Reason: "quarantine", Err: err}
		}
	}
	return nil
}

// maxMilli bounds times so that conversions do not overflow.
const maxMilli = 1 << 43

// decodeSpace fills the slots of a service and returns what is wrong with them.
func (t *Table) decodeSpace(w *wireService) string {
	s := t.space(w.Name)
	if reason := s.decodeHot(w.Hot, t.epoch); reason != "" {
		return reason
	}
	ids := t.locals(w.Name)
	size := width(len(ids))
	if len(w.Owners) != s.len()*size {
		return "wrong number of owners"
	}
	refs := make([]uint16, len(ids)+1)
	for i, id := range ids {
		refs[i+1] = t.refs[id] + 1
	}
	for slot := range s.len() {
		local := int(w.Owners[slot*size])
		if size == 2 {
			local = int(binary.BigEndian.Uint16(w.Owners[slot*size:]))
		}
		switch {
		case local == 0:
		case local > len(ids):
			return "owner out of range"
		case !s.valid(slot):
			return "empty slot has an owner"
		default:
			s.set(slot, entry{owner: refs[local]})
		}
	}
	if reason := s.decodeMoves(w.Moves, refs); reason != "" {
		return reason
	}
	return s.decodeSince(w.Since, t.epoch)
}

// decodeSince reads the epochs in which recent moves started.
func (s *space) decodeSince(b []byte, epoch uint64) string {
	for slot, first := 0, true; len(b) > 0; first = false {
		step, since, rest := pair(b)
		if rest == nil || step > uint64(s.len()) || step == 0 && !first {
			return "starts of moves are broken"
		}
		b = rest
		slot += int(step)
		if !s.valid(slot) || since == 0 || since > epoch {
			return "start of a move out of range"
		}
		s.started(slot, since)
	}
	return ""
}

func (s *space) decodeHot(hots []wireHot, epoch uint64) string {
	if len(hots) > maxHot {
		return "too many hot keys"
	}
	for _, h := range hots {
		_, dup := s.index[h.Hash]
		if h.Used && (dup || h.Freed != 0) || !h.Used && (h.Hash != 0 || h.Freed > epoch || h.Freed == 0) {
			return "hot key out of range"
		}
		slot := s.plain + len(s.hots)
		s.hots = append(s.hots, hot{hash: h.Hash, used: h.Used, freed: h.Freed})
		if slot >= len(s.chunks)*chunkSize {
			s.chunks = append(s.chunks, &chunk{})
			s.owners = append(s.owners, s.edit)
		}
		if !h.Used {
			continue
		}
		if s.index == nil {
			s.index = map[uint64]int{}
		}
		s.index[h.Hash] = slot
		s.write(slot).unowned++
	}
	return ""
}

// decodeMoves applies the moves; refs maps an index plus one to a reference plus one.
func (s *space) decodeMoves(b []byte, refs []uint16) string {
	for slot, first := 0, true; len(b) > 0; first = false {
		step, code, rest := pair(b)
		if rest == nil || step > uint64(s.len()) || step == 0 && !first {
			return "moves are broken"
		}
		b = rest
		slot += int(step)
		local := code >> 1
		if slot >= s.len() || local == 0 || local >= uint64(len(refs)) {
			return "move out of range"
		}
		e := s.at(slot)
		if e.owner == 0 || e.owner == refs[local] {
			return "move without effect"
		}
		s.set(slot, entry{owner: e.owner, next: refs[local], forced: code&1 == 1})
	}
	return ""
}

// pair reads two varints in their shortest form; rest is nil if there are none.
func pair(b []byte) (x, y uint64, rest []byte) {
	x, n := binary.Uvarint(b)
	if n <= 0 || n > 1 && b[n-1] == 0 {
		return 0, 0, nil
	}
	y, m := binary.Uvarint(b[n:])
	if m <= 0 || m > 1 && b[n+m-1] == 0 {
		return 0, 0, nil
	}
	return x, y, b[n+m:]
}
