package fulmarslot_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// newTable returns a table of one service whose slots are distributed over the targets.
func newTable(slots, targets int) fulmarslot.Table {
	changes := make([]fulmarslot.Change, 0, slots+targets)
	for i := range targets {
		changes = append(changes, fulmarslot.PutTarget(fulmarslot.Target{ID: fmt.Sprintf("t%05d", i), Service: "rota", Fenced: true}))
	}
	for i := range slots {
		changes = append(changes, fulmarslot.Assign("rota", i, fmt.Sprintf("t%05d", i*7919%targets)))
	}
	t, err := fulmarslot.New(map[string]int{"rota": slots}).With(changes...)
	if err != nil {
		panic(err)
	}
	return t
}

func expectError(t fulmarslot.Table, want error, changes ...fulmarslot.Change) {
	GinkgoHelper()
	_, err := t.With(changes...)
	var typed *fulmarslot.ChangeError
	Expect(err).To(MatchError(want))
	Expect(err).To(BeAssignableToTypeOf(typed))
}

func expectApplied(t fulmarslot.Table, changes ...fulmarslot.Change) fulmarslot.Table {
	GinkgoHelper()
	next, err := t.With(changes...)
	Expect(err).NotTo(HaveOccurred())
	Expect(next.Epoch()).To(Equal(t.Epoch() + 1))
	return next
}

var _ = Describe("Table", func() {
	// Guards against changes that give a slot two owners or lose its owner (invariant I1).
	It("refuses changes that do not apply", func() {
		t := newTable(4, 2)
		moving := expectApplied(t, fulmarslot.Move("rota", 0, "t00001", false))
		twoServices := expectApplied(t, fulmarslot.AddService("desk", 1), fulmarslot.PutTarget(fulmarslot.Target{ID: "d", Service: "desk"}))
		expectError(t, fulmarslot.ErrSlotOwned, fulmarslot.Assign("rota", 0, "t00001"))
		expectError(t, fulmarslot.ErrUnknownSlot, fulmarslot.Assign("rota", 4, "t00001"))
		expectError(t, fulmarslot.ErrUnknownService, fulmarslot.Commit("none", 0))
		expectError(t, fulmarslot.ErrUnknownTarget, fulmarslot.Move("rota", 0, "none", true))
		expectError(t, fulmarslot.ErrSameTarget, fulmarslot.Move("rota", 0, "t00000", false))
		expectError(t, fulmarslot.ErrSlotNotMoving, fulmarslot.Commit("rota", 0))
		expectError(t, fulmarslot.ErrSlotNotMoving, fulmarslot.Cancel("rota", 0))
		expectError(moving, fulmarslot.ErrSlotMoving, fulmarslot.Move("rota", 0, "t00001", false))
		expectError(moving, fulmarslot.ErrTargetInUse, fulmarslot.RemoveTarget("t00001"))
		expectError(moving, fulmarslot.ErrSlotMoving, fulmarslot.AddHotKey("rota", 0))
		expectError(twoServices, fulmarslot.ErrServiceMismatch, fulmarslot.Move("rota", 0, "d", false))
		expectError(twoServices, fulmarslot.ErrSlotUnowned, fulmarslot.Move("desk", 0, "d", false))
		expectError(t, fulmarslot.ErrExists, fulmarslot.AddService("rota", 1))
		expectError(t, fulmarslot.ErrLimitExceeded, fulmarslot.AddService("big", 1<<20+1))
		expectError(t, fulmarslot.ErrUnknownMember, fulmarslot.RemoveMember("m"))
		expectError(t, fulmarslot.ErrNotQuarantined, fulmarslot.RemoveQuarantine(1))
		expectError(t, fulmarslot.ErrStaleIncarnation, fulmarslot.PutMember(fulmarslot.Member{ID: "m", Incarnation: 2}),
			fulmarslot.PutMember(fulmarslot.Member{ID: "m", Incarnation: 1}))
		Expect(fulmarslot.Cancel("rota", 0)(&moving)).To(MatchError(fulmarslot.ErrOutsideWith))
	})

	// Guards against a wrong owner in a phase of a move.
	It("moves a slot in two phases", func() {
		t := expectApplied(newTable(4, 2), fulmarslot.Move("rota", 0, "t00001", true))
		Expect(t.Assignment("rota", 0)).To(Equal(fulmarslot.Assignment{Owner: "t00000", Next: "t00001", Forced: true, MoveEpoch: t.Epoch()}))
		started := t.Epoch()
		Expect(t.OwnedBy(nil, "t00000")).To(Equal([]int{2}))
		Expect(t.MovingFrom(nil, "t00000")).To(Equal([]int{0}))
		t = expectApplied(t, fulmarslot.Commit("rota", 0))
		Expect(t.OwnedBy(nil, "t00001")).To(Equal([]int{0, 1, 3}))
		Expect(t.Assignment("rota", 0).MoveEpoch).To(Equal(started), "the commit changed the epoch in which the move started")
		for range 300 {
			t = expectApplied(t)
		}
		t = expectApplied(t, fulmarslot.Move("rota", 1, "t00000", false))
		Expect(t.Assignment("rota", 0).MoveEpoch).To(BeZero(), "the epoch of an old move is never dropped")
	})

	// Guards against a new dispatcher that relies on what a target reports about its
	// orders for keys that another target served in the meantime.
	It("lists the slots that a target has owned since an epoch", func() {
		t := newTable(4, 2)
		before := t.Epoch()
		Expect(t.OwnedSince(nil, "t00000", before)).To(Equal([]int{0, 2}))
		Expect(t.OwnedSince(nil, "t00000", before+1)).To(BeEmpty(), "a future epoch")
		Expect(t.OwnedSince(nil, "none", before)).To(BeEmpty())
		moving := expectApplied(t, fulmarslot.Move("rota", 0, "t00001", false))
		movedBack := expectApplied(expectApplied(expectApplied(moving, fulmarslot.Commit("rota", 0)), fulmarslot.Move("rota", 0, "t00000", false)), fulmarslot.Commit("rota", 0))
		Expect(movedBack.OwnedSince(nil, "t00000", before)).To(Equal([]int{2}), "slot 0 moved to another target and back")
		Expect(movedBack.OwnedSince(nil, "t00001", before)).To(Equal([]int{1, 3}))
		Expect(movedBack.OwnedSince(nil, "t00000", movedBack.Epoch())).To(Equal([]int{0, 2}))
		hot := expectApplied(t, fulmarslot.AddHotKey("rota", 0))
		Expect(hot.OwnedSince(nil, "t00000", before)).To(Equal([]int{0, 2, 4}), "a hot key stays with its owner")
		Expect(expectApplied(hot, fulmarslot.RemoveHotKey("rota", 0)).OwnedSince(nil, "t00000", before)).To(BeEmpty(), "a hot key was removed")
		for range 64 {
			t = expectApplied(t)
		}
		Expect(t.OwnedSince(nil, "t00000", before)).To(BeEmpty(), "an epoch older than the retained history")
	})

	// Guards against a hot key whose slot gets a different owner than its plain slot without a move.
	It("gives each hot key its own slot", func() {
		hash := fulmarslot.KeyHash("rota", "k")
		t := newTable(4, 2)
		plain, _ := t.Slot("rota", "k")
		t = expectApplied(t, fulmarslot.AddHotKey("rota", hash))
		slot, _ := t.Slot("rota", "k")
		Expect(slot).To(Equal(4))
		Expect(t.Assignment("rota", 4)).To(Equal(t.Assignment("rota", plain)))
		parent, gotHash, ok := t.ParentSlot("rota", 4)
		Expect([]any{parent, gotHash, ok}).To(Equal([]any{plain, hash, true}))
		other := []string{"t00001", "t00000"}[plain%2]
		moved := expectApplied(t, fulmarslot.Move("rota", 4, other, false))
		expectError(moved, fulmarslot.ErrSlotMoving, fulmarslot.RemoveHotKey("rota", hash))
		moved = expectApplied(moved, fulmarslot.Commit("rota", 4))
		expectError(moved, fulmarslot.ErrOwnerMismatch, fulmarslot.RemoveHotKey("rota", hash))
		t = expectApplied(t, fulmarslot.RemoveHotKey("rota", hash))
		Expect(t.Slots("rota")).To(Equal(5))
		expectError(t, fulmarslot.ErrUnknownSlot, fulmarslot.Assign("rota", 4, "t00000"))
		t = expectApplied(t, fulmarslot.AddHotKey("rota", 1))
		Expect(t.Slots("rota")).To(Equal(6), "the slot of a removed hot key was reused at once")
		for range 64 {
			t = expectApplied(t)
		}
		Expect(expectApplied(t, fulmarslot.AddHotKey("rota", 2)).Slots("rota")).To(Equal(6))
	})

	// Guards against a table that exceeds the value size of the key-value service.
	It("encodes 256k slots within 1 MB", func() {
		for _, targets := range []int{20, 1000} {
			t := newTable(256<<10, targets)
			var changes []fulmarslot.Change
			for _, slot := range t.OwnedBy(nil, "t00001") {
				changes = append(changes, fulmarslot.Move("rota", slot, "t00002", true))
			}
			b, err := expectApplied(t, changes...).MarshalBinary()
			Expect(err).NotTo(HaveOccurred())
			Expect(len(b)).To(BeNumerically("<=", 1<<20))
		}
	})

	// Guards against a later change that modifies a shared chunk or index, against counts that
	// differ from the slots, and against a binary form that loses state.
	It("agrees with a reference model and stays immutable", func() {
		rapid.Check(GinkgoT(), checkModel)
	})

	// Guards against decoding a table from a damaged value.
	It("refuses damaged binary forms", func() {
		b, _ := newTable(4, 2).MarshalBinary()
		for name, bad := range map[string][]byte{
			"empty": {}, "truncated": b[:len(b)-1], "trailing byte": append(append([]byte{}, b...), 0),
			"unknown field": []byte(strings.Replace(string(b), "roster", "rosteR", 1)),
			"unknown owner": []byte(strings.Replace(string(b), "\x44\x01\x02\x01\x02", "\x44\x01\x03\x01\x02", 1)),
		} {
			_, err := fulmarslot.Decode(bad)
			Expect(err).To(BeAssignableToTypeOf(&fulmarslot.DecodeError{}), name)
		}
	})
})

// checkModel applies random changes and compares the table with a map of assignments.
func checkModel(t *rapid.T) {
	table, model := newTable(600, 3), map[int]fulmarslot.Assignment{}
	for i := range 600 {
		model[i] = table.Assignment("rota", i)
	}
	for range rapid.IntRange(1, 60).Draw(t, "changes") {
		before := marshal(table)
		epoch := table.Epoch() + 1
		slot, to := rapid.IntRange(0, table.Slots("rota")).Draw(t, "slot"), fmt.Sprintf("t%05d", rapid.IntRange(0, 3).Draw(t, "target"))
		a := model[slot]
		var change fulmarslot.Change
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			change, a = fulmarslot.Move("rota", slot, to, false), fulmarslot.Assignment{Owner: a.Owner, Next: to, MoveEpoch: epoch}
		case 1:
			change, a = fulmarslot.Move("rota", slot, to, true), fulmarslot.Assignment{Owner: a.Owner, Next: to, Forced: true, MoveEpoch: epoch}
		case 2:
			change, a = fulmarslot.Commit("rota", slot), fulmarslot.Assignment{Owner: a.Next, MoveEpoch: a.MoveEpoch}
		case 3:
			change, a = fulmarslot.Cancel("rota", slot), fulmarslot.Assignment{Owner: a.Owner}
		case 4:
			hash := uint64(slot) + 600*uint64(table.Slots("rota"))
			change, a, slot = fulmarslot.AddHotKey("rota", hash), fulmarslot.Assignment{Owner: model[int(hash%600)].Owner}, table.Slots("rota")
		case 5:
			change = fulmarslot.PutTarget(fulmarslot.Target{ID: to, Service: "rota", Address: fmt.Sprint(slot)})
		case 6:
			change = fulmarslot.PutMember(fulmarslot.Member{ID: to, Incarnation: uint64(slot)})
		case 7:
			change = fulmarslot.RemoveMember(to)
		}
		next, err := table.With(change)
		if marshal(table) != before {
			t.Fatal("With modified its receiver")
		}
		if err != nil {
			continue
		}
		table = next
		if a.Owner != "" { // empty for the slot number past the last one, which changes of targets and members may draw
			model[slot] = a
		}
	}
	checkAgainstModel(t, table, model)
}

func checkAgainstModel(t *rapid.T, table fulmarslot.Table, model map[int]fulmarslot.Assignment) {
	type count struct{ owned, outgoing, incoming int }
	want, moving := map[string]count{}, 0
	for slot, a := range model {
		if got := table.Assignment("rota", slot); got != a {
			t.Fatalf("slot %d is %v, want %v", slot, got, a)
		}
		c, n := want[a.Owner], want[a.Next]
		if a.Next == "" {
			c.owned++
		} else {
			moving++
			c.outgoing++
			n.incoming++
			want[a.Next] = n
		}
		want[a.Owner] = c
	}
	for _, x := range table.Targets() {
		var got count
		got.owned, got.outgoing, got.incoming = table.SlotCounts(x.ID)
		if got != want[x.ID] || len(table.OwnedBy(nil, x.ID)) != got.owned || len(table.MovingFrom(nil, x.ID)) != got.outgoing {
			t.Fatalf("%s has %v, want %v", x.ID, got, want[x.ID])
		}
	}
	for range table.MovingSlots("rota") {
		moving--
	}
	decoded, err := fulmarslot.Decode([]byte(marshal(table)))
	if err != nil || marshal(decoded) != marshal(table) || moving != 0 {
		t.Fatalf("decoding: %v; moves in the model minus moves listed: %d", err, moving)
	}
}

func marshal(t fulmarslot.Table) string {
	b, err := t.MarshalBinary()
	if err != nil {
		panic(err)
	}
	return string(b)
}

// FuzzDecode guards against a value that crashes Decode, or that decodes into a table whose binary form does not decode
// to the same table.
func FuzzDecode(f *testing.F) {
	t := newTable(4, 2)
	f.Add([]byte(marshal(t)))
	t, err := t.With(
		fulmarslot.Move("rota", 3, "t00000", true), fulmarslot.AddHotKey("rota", 4), fulmarslot.PutMember(fulmarslot.Member{ID: "m"}),
		fulmarslot.PutQuarantine(fulmarslot.Quarantine{Fingerprint: 1, Until: time.Unix(1, 0)}),
	)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(marshal(t)))
	f.Fuzz(func(t *testing.T, b []byte) {
		table, err := fulmarslot.Decode(b)
		if err != nil {
			return
		}
		again, err := fulmarslot.Decode([]byte(marshal(table)))
		if err != nil || marshal(again) != marshal(table) {
			t.Fatalf("second decoding differs: %v", err)
		}
	})
}

func ExampleTable_With() {
	t := fulmarslot.New(map[string]int{"rota-board": 2})
	t, err := t.With(
		fulmarslot.PutTarget(fulmarslot.Target{ID: "rota-1", Service: "rota-board"}),
		fulmarslot.Assign("rota-board", 0, "rota-1"),
	)
	fmt.Println(t.Epoch(), t.Assignment("rota-board", 0).Owner, err)
	_, err = t.With(fulmarslot.Commit("rota-board", 0))
	fmt.Println(err)
	// Output:
	// 2 rota-1 <nil>
	// fulmarslot: commit rota-board/0 : slot is not moving
}

var slotCounts = []int{1 << 10, 1 << 16, 1 << 20}

func BenchmarkSlot(b *testing.B) {
	for _, n := range slotCounts {
		t := newTable(n, 20)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.Slot("rota", "some-key")
			}
		})
	}
}

func BenchmarkWith64Moves(b *testing.B) {
	for _, n := range slotCounts {
		t := newTable(n, 20)
		var changes []fulmarslot.Change
		for i := range 64 {
			slot := i * n / 64
			next := "t00000"
			if t.Assignment("rota", slot).Owner == next {
				next = "t00001"
			}
			changes = append(changes, fulmarslot.Move("rota", slot, next, false))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := t.With(changes...); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMarshal(b *testing.B) {
	for _, n := range slotCounts {
		t := newTable(n, 20)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.SetBytes(int64(len(marshal(t))))
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range slotCounts {
		data := []byte(marshal(newTable(n, 20)))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := fulmarslot.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
