package fulmarrelay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
)

// members returns n daemons in the given number of data centres, of which every twentieth is strong.
func members(n, dcs int) []fulmarrelay.Member {
	out := make([]fulmarrelay.Member, n)
	for i := range out {
		out[i] = fulmarrelay.Member{Relay: fulmarrelay.Relay{Address: fmt.Sprintf("d%04d", i), DC: fmt.Sprint("dc", i%dcs)}, CPUShare: 0.16}
		if i%20 < dcs && i < n/2 {
			out[i].CPUShare = 0.8
		}
	}
	return out
}

func byDC(s fulmarrelay.Set) map[string]int {
	out := make(map[string]int)
	for _, r := range s {
		out[r.DC]++
	}
	return out
}

func TestWith(t *testing.T) {
	t.Run("a small fleet needs none", func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(fulmarrelay.Set{{Address: "d0001"}}.With(members(fulmarrelay.MaxDirect, 3))).To(BeEmpty())
	})
	// Guards against a leader, or a relay, whose load grows with the fleet.
	for _, c := range []struct{ daemons, dcs int }{{33, 1}, {123, 3}, {295, 5}, {1500, 15}} {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			g := NewWithT(t)
			s := fulmarrelay.Set(nil).With(members(c.daemons, c.dcs))
			g.Expect(len(s)).To(BeNumerically("<=", c.daemons/24+2*c.dcs), "followers of the leader")
			for dc, n := range byDC(s) {
				g.Expect(n).To(BeNumerically(">=", 2), dc)
			}
			g.Expect(byDC(s)).To(HaveLen(c.dcs))
			followers := make(map[string]int)
			for _, m := range members(c.daemons, c.dcs) {
				followers[s.Order(m.Address, m.DC)[0]]++
			}
			for address, n := range followers {
				g.Expect(n).To(BeNumerically("<=", 50), "daemons that follow %s first", address)
			}
		})
	}
	// Guards against weak relays with slow links where strong daemons exist.
	t.Run("strong daemons", func(t *testing.T) {
		g := NewWithT(t)
		list := members(295, 5)
		for _, r := range fulmarrelay.Set(nil).With(list) {
			i := slices.IndexFunc(list, func(m fulmarrelay.Member) bool { return m.Address == r.Address })
			g.Expect(list[i].CPUShare).To(Equal(0.8))
		}
	})
	// Guards against relays that change, and with them all of their daemons, when others report in another order, or when
	// the fleet grows.
	t.Run("stable", func(t *testing.T) {
		g := NewWithT(t)
		list := members(100, 3)
		for i := range list {
			list[i].CPUShare = 0.2
		}
		s := fulmarrelay.Set(nil).With(list[30:])
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, r := range s {
			g.Expect(s.With(list).Has(r.Address)).To(BeTrue())
		}
		g.Expect(s.With(list).With(list)).To(Equal(s.With(list)))
	})
}

func TestOrder(t *testing.T) {
	s := fulmarrelay.Set(nil).With(members(295, 5))
	t.Run("own data centre first", func(t *testing.T) {
		g := NewWithT(t)
		order := s.Order("x", "dc2")
		g.Expect(order).To(HaveLen(len(s)))
		for _, address := range order[:byDC(s)["dc2"]] {
			g.Expect(s).To(ContainElement(fulmarrelay.Relay{Address: address, DC: "dc2"}))
		}
	})
	// Guards against the daemons of a lost relay that all move to the same other one.
	t.Run("after a loss", func(t *testing.T) {
		g := NewWithT(t)
		second := make(map[string]int)
		for i := range 300 {
			if order := s.Order(fmt.Sprint(i), "dc1"); order[0] == s.Order("0", "dc1")[0] {
				second[order[1]]++
			}
		}
		g.Expect(len(second)).To(BeNumerically(">", 1))
	})
}
