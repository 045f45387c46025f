package fulmarrange_test

import (
	"fmt"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var incarnationA, incarnationB = fulmarrange.Incarnation{ID: "a", Born: 1}, fulmarrange.Incarnation{ID: "b", Born: 1}

func TestTable(t *testing.T) {
	t.Run("starts without owners", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(fulmarrange.New().Find(0).HasOwner()).To(BeFalse())
		g.Expect(fulmarrange.New().Len()).To(Equal(1))
	})

	// Guards against dropping a prior owner that may still hold keys.
	t.Run("keeps prior owners", func(t *testing.T) {
		g := NewWithT(t)
		table := fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, incarnationA).WithOwner(10, 20, incarnationB)
		s := table.Find(15)
		g.Expect(s.Owner.Incarnation).To(Equal(incarnationB))
		g.Expect(s.PriorClaims).To(Equal([]fulmarrange.Claim{table.Find(0).Owner}))
		g.Expect(s.Owner.Fence).To(BeNumerically(">", table.Find(0).Owner.Fence))
		g.Expect(table.Find(9).PriorClaims).To(BeEmpty())
		g.Expect(table.WithoutPriorClaim(10, 20, table.Find(0).Owner).Find(15).PriorClaims).To(BeEmpty())
	})

	// Guards against restoring a table with gaps or overlaps, in which keys would have no or two segments.
	t.Run("rejects stored segments with gaps or overlaps", func(t *testing.T) {
		g := NewWithT(t)
		for _, segments := range [][]fulmarrange.Segment{
			nil,
			{{From: 0, To: 10}},
			{{From: 0, To: 10}, {From: 12, To: fulmarrange.MaxKey}},
			{{From: 0, To: 10}, {From: 10, To: fulmarrange.MaxKey}},
			{{From: 1, To: fulmarrange.MaxKey}},
		} {
			_, err := fulmarrange.Restore(segments, 0)
			g.Expect(err).To(HaveOccurred())
		}
	})

	// Guards against reused fences, and against keys lost when segments are split and merged.
	t.Run("covers all keys with increasing fences", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			table := fulmarrange.New()
			for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
				from := rapid.IntRange(0, fulmarrange.MaxKey).Draw(t, "from")
				to := rapid.IntRange(from, fulmarrange.MaxKey).Draw(t, "to")
				before := table.MaxFence()
				table = table.WithOwner(from, to, fulmarrange.Incarnation{ID: fmt.Sprint(i % 4), Born: 1})
				if table.MaxFence() <= before || table.Find(from).Owner.Fence != table.MaxFence() {
					t.Fatalf("fence %d after %d", table.MaxFence(), before)
				}
			}
			restored, err := fulmarrange.Restore(table.Segments(), 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, key := range []int{0, 1, fulmarrange.MaxKey} {
				if s := restored.Find(key); key < s.From || key > s.To {
					t.Fatalf("key %d lies in %v", key, s)
				}
			}
		})
	})
}

// Guards against tables that differ when many changes are made at once.
func TestChangesAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := fulmarrange.New()
		for range 3 {
			var changes []fulmarrange.Change
			oneByOne := table
			for from := rapid.IntRange(0, 99).Draw(t, "first"); from < 100; {
				to := rapid.IntRange(from, min(from+20, 99)).Draw(t, "to")
				c := fulmarrange.Change{From: from, To: to, Owner: fulmarrange.Incarnation{ID: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "owner")}}
				changes, oneByOne = append(changes, c), oneByOne.WithOwner(c.From, c.To, c.Owner)
				from = to + 1 + rapid.IntRange(0, 9).Draw(t, "gap")
			}
			table = table.WithOwners(changes)
			expectEqual(t, table, oneByOne)
		}
		var some, owned []fulmarrange.Segment
		released, renewed := table, table
		for _, s := range table.Segments() {
			if len(s.PriorClaims) > 0 && rapid.Bool().Draw(t, "released") {
				some = append(some, s)
				for _, p := range s.PriorClaims {
					released = released.WithoutPriorClaim(s.From, s.To, p)
				}
			}
			if s.HasOwner() && rapid.Bool().Draw(t, "renewed") {
				owned, renewed = append(owned, s), renewed.WithRenewedFence(s.From, s.To)
			}
		}
		expectEqual(t, table.WithoutPriorClaims(some), released)
		expectEqual(t, table.WithRenewedFences(owned), renewed)
	})
}

// expectEqual expects equal segments and fences.
func expectEqual(t *rapid.T, a, b fulmarrange.Table) {
	if !reflect.DeepEqual(a.Segments(), b.Segments()) || a.MaxFence() != b.MaxFence() {
		t.Fatalf("%v, fence %d, in place of %v, fence %d", a.Segments(), a.MaxFence(), b.Segments(), b.MaxFence())
	}
}

func ExampleTable() {
	table := fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, incarnationA).WithOwner(100, 199, incarnationB)
	for _, s := range table.Segments() {
		fmt.Println(s.From, s.To, s.Owner.Incarnation.ID, s.Owner.Fence)
	}
	// Output:
	// 0 99 a 1
	// 100 199 b 2
	// 200 65535 a 1
}
