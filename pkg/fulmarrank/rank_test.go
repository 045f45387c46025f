package fulmarrank_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrank"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func members(n, dataCentres int) []fulmarrank.Member {
	out := make([]fulmarrank.Member, n)
	for i := range out {
		out[i] = fulmarrank.Member{ID: fmt.Sprintf("m%04d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)}
	}
	return out
}

var _ = Describe("Ranker", func() {
	// Guards against a First that disagrees with Rank: two daemons would then both
	// act as the dispatcher of a target.
	It("returns the first of Rank from First and ranks local members before all others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ms := members(rapid.IntRange(1, 30).Draw(t, "members"), 3)
			name := rapid.String().Draw(t, "name")
			order := fulmarrank.New(ms).Rank(nil, name, "dc1")
			first, ok := fulmarrank.New(ms).First(name, "dc1")
			if !ok || order[0] != first || len(order) != len(ms) {
				t.Fatalf("First %q, Rank %v", first, order)
			}
			local := func(id string) bool {
				return ms[slices.IndexFunc(ms, func(m fulmarrank.Member) bool { return m.ID == id })].DataCentre == "dc1"
			}
			remote := false
			for _, id := range order {
				if local(id) && remote {
					t.Fatalf("local member %s ranks after a remote one: %v", id, order)
				}
				remote = remote || !local(id)
			}
		})
	})

	// Guards against needless changes of dispatchers: the loss of one member must not reorder the others.
	It("keeps the order of the others when a member is removed", func() {
		ms := members(27, 3)
		for i := range 100 {
			name := fmt.Sprint("target", i)
			want := fulmarrank.New(ms).Rank(nil, name, "dc0")
			want = slices.DeleteFunc(want, func(id string) bool { return id == "m0004" })
			got := fulmarrank.New(slices.Delete(slices.Clone(ms), 4, 5)).Rank(nil, name, "dc0")
			Expect(got).To(Equal(want))
		}
	})

	// Guards against a weak hash that ranks some members first for far more names than others.
	It("distributes names evenly", func() {
		r := fulmarrank.New(members(9, 1))
		count := map[string]int{}
		for i := range 9000 {
			id, _ := r.First(fmt.Sprint("t", i), "dc0")
			count[id]++
		}
		for id, n := range count {
			Expect(n).To(BeNumerically("~", 1000, 150), id)
		}
	})

	// Guards against a panic of a ranker without members.
	It("reports that an empty ranker has no first member", func() {
		_, ok := fulmarrank.New(nil).First("t", "dc0")
		Expect(ok).To(BeFalse())
	})
})

func ExampleRanker_First() {
	r := fulmarrank.New([]fulmarrank.Member{{ID: "a", DataCentre: "odda"}, {ID: "b", DataCentre: "eidfjord"}})
	id, _ := r.First("rota-1", "eidfjord")
	fmt.Println(id)
	// Output: b
}

func BenchmarkFirst(b *testing.B) {
	for _, n := range []int{3, 27, 81, 1500} {
		r := fulmarrank.New(members(n, 3))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.First("rota-1", "dc1")
			}
		})
	}
}
