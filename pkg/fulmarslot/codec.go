package fulmarslot

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxEncodedBytes limits the binary form: two bytes for each of maxTotalSlots and as much again for moves and lists.
const maxEncodedBytes = 8 << 20

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
		Owners []byte    `cbor:"owners"` // for each slot: index of its owner among the service's targets plus one, big-endian
		Moves  []byte    `cbor:"moves"`  // for each moving slot: varints of its distance from the previous one and of 2*next+forced
		Since  []byte    `cbor:"since"`  // for each slot with a recent move: varints of its distance from the previous one and of the epoch of the start
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
	encoder = mustMode(encodeOptions().EncMode())
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

// encodeOptions encodes nil lists as empty ones, so that equal tables have the same binary form.
func encodeOptions() cbor.EncOptions {
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
		Services: make([]wireService, len(t.keySpaces)), Quarantine: make([]wireQuarantine, len(t.quarantine)),
	}
	for i, s := range t.keySpaces {
		w.Services[i] = t.encodeKeySpace(s)
	}
	for i, q := range t.quarantine {
		w.Quarantine[i] = wireQuarantine{Fingerprint: q.Fingerprint, Condemned: q.Condemned, Until: q.Until.UnixMilli()}
	}
	return encoder.Marshal(w)
}

// targetIDs returns the ids of the targets of a service in ascending order.
func (t *Table) targetIDs(service string) []string {
	var ids []string
	for i := range t.targets {
		if t.targets[i].Service == service {
			ids = append(ids, t.targets[i].ID)
		}
	}
	return ids
}

func (t *Table) encodeKeySpace(s *keySpace) wireService {
	local := make([]uint16, len(t.idByRef)+1) // maps reference plus one to index plus one
	ids := t.targetIDs(s.name)
	for i, id := range ids {
		local[t.refByID[id]+1] = uint16(i + 1)
	}
	w := wireService{Name: s.name, Slots: s.plainSlots, Owners: make([]byte, 0, s.len()*ownerBytes(len(ids)))}
	last := 0
	for slot := range s.len() {
		e := s.entryAt(slot)
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
	for _, slot := range slices.Sorted(maps.Keys(s.moveEpochs)) {
		w.Since = binary.AppendUvarint(w.Since, uint64(slot-last))
		w.Since = binary.AppendUvarint(w.Since, s.moveEpochs[slot])
		last = slot
	}
	for _, h := range s.hotSlots {
		w.Hot = append(w.Hot, wireHot{Hash: h.hash, Used: h.used, Freed: h.freedEpoch})
	}
	return w
}

// ownerBytes returns the number of bytes of an encoded owner.
func ownerBytes(targets int) int {
	if targets > 0xfe {
		return 2
	}
	return 1
}

// Decode parses a table from its binary form.
func Decode(b []byte) (Table, error) {
	if len(b) > maxEncodedBytes {
		return Table{}, &DecodeError{Reason: "binary form is longer than the limit"}
	}
	var w wireTable
	if err := decoder.Unmarshal(b, &w); err != nil {
		return Table{}, &DecodeError{Reason: "invalid CBOR encoding", Err: err}
	}
	if w.Epoch == 0 {
		return Table{}, &DecodeError{Reason: "epoch is zero"}
	}
	t := Table{epoch: w.Epoch, edit: &edit{epoch: w.Epoch}}
	if err := t.decodeLists(&w); err != nil {
		return Table{}, err
	}
	for i := range w.Services {
		if reason := t.decodeKeySpace(&w.Services[i]); reason != "" {
			return Table{}, &DecodeError{Reason: "service " + w.Services[i].Name + ": " + reason}
		}
	}
	t.edit = nil
	return t, nil
}

// decodeLists adds the services, targets, members and quarantine entries, with the same checks as the changes.
func (t *Table) decodeLists(w *wireTable) error {
	for i, s := range w.Services {
		if i > 0 && s.Name <= w.Services[i-1].Name {
			return &DecodeError{Reason: "services are not sorted by name"}
		}
		if len(s.Owners) < s.Slots {
			return &DecodeError{Reason: "fewer owners than slots"}
		}
		if err := AddService(s.Name, s.Slots)(t); err != nil {
			return &DecodeError{Reason: "service", Err: err}
		}
	}
	for i, x := range w.Targets {
		if i > 0 && x.ID <= w.Targets[i-1].ID {
			return &DecodeError{Reason: "targets are not sorted by id"}
		}
		if err := PutTarget(x)(t); err != nil {
			return &DecodeError{Reason: "target", Err: err}
		}
	}
	for i, m := range w.Roster {
		if i > 0 && m.ID <= w.Roster[i-1].ID {
			return &DecodeError{Reason: "roster is not sorted by id"}
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
			return &DecodeError{Reason: "quarantine is not sorted by fingerprint"}
		}
		if q.Until < -maxUnixMilli || q.Until > maxUnixMilli {
			return &DecodeError{Reason: "end of quarantine out of range"}
		}
		mark := Quarantine{Fingerprint: q.Fingerprint, Condemned: q.Condemned, Until: time.UnixMilli(q.Until)}
		if err := PutQuarantine(mark)(t); err != nil {
			return &DecodeError{Reason: "quarantine", Err: err}
		}
	}
	return nil
}

// maxUnixMilli limits times so that conversions do not overflow.
const maxUnixMilli = 1 << 43

// decodeKeySpace decodes the slots of a service. It returns the reason if they are invalid, or an empty string.
func (t *Table) decodeKeySpace(w *wireService) string {
	s := t.keySpace(w.Name)
	if reason := s.decodeHot(w.Hot, t.epoch); reason != "" {
		return reason
	}
	ids := t.targetIDs(w.Name)
	size := ownerBytes(len(ids))
	if len(w.Owners) != s.len()*size {
		return "number of owners does not match number of slots"
	}
	refs := make([]uint16, len(ids)+1)
	for i, id := range ids {
		refs[i+1] = t.refByID[id] + 1
	}
	for slot := range s.len() {
		local := int(w.Owners[slot*size])
		if size == 2 {
			local = int(binary.BigEndian.Uint16(w.Owners[slot*size:]))
		}
		switch {
		case local == 0:
		case local > len(ids):
			return "index of an owner out of range"
		case !s.inUse(slot):
			return "slot of a removed hot key has an owner"
		default:
			s.setEntry(slot, entry{owner: refs[local]})
		}
	}
	if reason := s.decodeMoves(w.Moves, refs); reason != "" {
		return reason
	}
	return s.decodeSince(w.Since, t.epoch)
}

// decodeSince decodes the epochs in which recent moves started. It returns the reason if they are invalid.
func (s *keySpace) decodeSince(b []byte, epoch uint64) string {
	for slot, first := 0, true; len(b) > 0; first = false {
		step, since, rest := readVarintPair(b)
		if rest == nil || step > uint64(s.len()) || step == 0 && !first {
			return "malformed list of move epochs"
		}
		b = rest
		slot += int(step)
		if !s.inUse(slot) || since == 0 || since > epoch {
			return "slot or epoch of a move out of range"
		}
		s.setMoveEpoch(slot, since)
	}
	return ""
}

func (s *keySpace) decodeHot(hots []wireHot, epoch uint64) string {
	if len(hots) > maxHotSlots {
		return "too many hot keys"
	}
	for _, h := range hots {
		_, dup := s.hotIndex[h.Hash]
		if h.Used && (dup || h.Freed != 0) || !h.Used && (h.Hash != 0 || h.Freed > epoch || h.Freed == 0) {
			return "invalid hot key slot"
		}
		slot := s.plainSlots + len(s.hotSlots)
		s.hotSlots = append(s.hotSlots, hotSlot{hash: h.Hash, used: h.Used, freedEpoch: h.Freed})
		if slot >= len(s.chunks)*chunkSize {
			s.chunks = append(s.chunks, &chunk{})
			s.chunkEdits = append(s.chunkEdits, s.edit)
		}
		if !h.Used {
			continue
		}
		if s.hotIndex == nil {
			s.hotIndex = map[uint64]int{}
		}
		s.hotIndex[h.Hash] = slot
		s.writableChunk(slot).unowned++
	}
	return ""
}

// decodeMoves decodes the moves in progress; refs maps an index plus one to a reference plus one. It returns the reason
// if they are invalid.
func (s *keySpace) decodeMoves(b []byte, refs []uint16) string {
	for slot, first := 0, true; len(b) > 0; first = false {
		step, code, rest := readVarintPair(b)
		if rest == nil || step > uint64(s.len()) || step == 0 && !first {
			return "malformed list of moves"
		}
		b = rest
		slot += int(step)
		local := code >> 1
		if slot >= s.len() || local == 0 || local >= uint64(len(refs)) {
			return "slot or next target of a move out of range"
		}
		e := s.entryAt(slot)
		if e.owner == 0 || e.owner == refs[local] {
			return "moving slot has no owner or moves to its owner"
		}
		s.setEntry(slot, entry{owner: e.owner, next: refs[local], forced: code&1 == 1})
	}
	return ""
}

// readVarintPair reads two varints. It returns a nil rest if they are missing or not in their shortest form.
func readVarintPair(b []byte) (x, y uint64, rest []byte) {
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
