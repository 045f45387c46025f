package fulmarrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxDirect is the number of daemons that one leader serves without relays. At 27 daemons, the smallest fleets of the
	// users, a relay would only add a hop.
	MaxDirect = 32
	// fanout is the number of daemons that a relay serves. A leader of 1,500 daemons in 15 data centres has 75 relays then,
	// so neither has many connections.
	fanout = 24
	// minPerDC is the number of relays of a data centre, so that the loss of one leaves another one there.
	minPerDC = 2
	// minRelativeShare is the part of the largest CPU share in a data centre that a relay has, if there are minPerDC such
	// daemons: weak daemons have slow links as well.
	minRelativeShare = 0.5
)

// Relay is a daemon that passes the leader's state on.
type Relay struct {
	Address string `cbor:"address"` // at which other daemons reach it
	DC      string `cbor:"dc"`
}

// Member is a daemon that can be chosen.
type Member struct {
	Relay
	CPUShare float64 // usable share of a CPU core
}

// Set is an immutable set of relays.
type Set []Relay

// Has reports whether the daemon at address is a relay of the set.
func (s Set) Has(address string) bool {
	return slices.ContainsFunc(s, func(r Relay) bool { return r.Address == address })
}

// Equal reports whether both sets have the same relays in the same order.
func (s Set) Equal(o Set) bool { return slices.Equal(s, o) }

// Without returns the set without the daemon at address.
func (s Set) Without(address string) Set {
	return slices.DeleteFunc(slices.Clone(s), func(r Relay) bool { return r.Address == address })
}

// With returns the relays for the given members: none up to MaxDirect members, else the strongest ones of each data
// centre, of equal ones those that are relays already. The result does not depend on the order of the members.
func (s Set) With(members []Member) Set {
	if len(members) <= MaxDirect {
		return nil
	}
	byDC := make(map[string][]Member)
	for _, m := range members {
		byDC[m.DC] = append(byDC[m.DC], m)
	}
	var out Set
	for _, list := range byDC {
		slices.SortFunc(list, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), compareBool(s.Has(b.Address), s.Has(a.Address)), cmp.Compare(a.Address, b.Address))
		})
		count := max((len(list)+fanout-1)/fanout, min(minPerDC, len(list)))
		for i, m := range list[:count] {
			if i >= minPerDC && m.CPUShare < minRelativeShare*list[0].CPUShare {
				break
			}
			out = append(out, m.Relay)
		}
	}
	slices.SortFunc(out, func(a, b Relay) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Order returns the addresses of the relays in the order in which a daemon tries them: those of its data centre first, and
// among these by rendezvous hashing, so that the daemons spread evenly and those of a lost relay over all others.
func (s Set) Order(id, dc string) []string {
	list := slices.Clone(s)
	slices.SortFunc(list, func(a, b Relay) int {
		return cmp.Or(compareBool(b.DC == dc, a.DC == dc), cmp.Compare(hash(id, b.Address), hash(id, a.Address)), cmp.Compare(a.Address, b.Address))
	})
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.Address)
	}
	return out
}

func hash(id, address string) uint64 { return xxhash.Sum64String(id + "\x00" + address) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
