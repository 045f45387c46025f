package fulmarrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a member that can be ranked.
type Member struct {
	ID         string
	DataCentre string
}

// candidate is a member with the precomputed hash of its id.
type candidate struct {
	Member
	hash uint64
}

// Ranker ranks a fixed set of members for names by rendezvous hashing.
type Ranker struct {
	candidates []candidate // ascending by id
}

// New returns a ranker of the members.
func New(members []Member) Ranker {
	r := Ranker{candidates: make([]candidate, len(members))}
	for i, m := range members {
		r.candidates[i] = candidate{Member: m, hash: xxhash.Sum64String(m.ID)}
	}
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// First returns the id of the member that ranks first for name, with members in
// dataCentre before all others. It returns false if there are no members.
func (r Ranker) First(name, dataCentre string) (string, bool) {
	hash := xxhash.Sum64String(name)
	best, bestLocal, bestScore := -1, false, uint64(0)
	for i := range r.candidates {
		c := &r.candidates[i]
		local, memberScore := c.DataCentre == dataCentre, score(hash, c.hash)
		if best < 0 || (local && !bestLocal) || (local == bestLocal && memberScore > bestScore) {
			best, bestLocal, bestScore = i, local, memberScore
		}
	}
	if best < 0 {
		return "", false
	}
	return r.candidates[best].ID, true
}

// Rank appends the ids of all members to dst, ordered by their rank for name, with
// members in dataCentre before all others.
func (r Ranker) Rank(dst []string, name, dataCentre string) []string {
	hash := xxhash.Sum64String(name)
	order := slices.Clone(r.candidates)
	slices.SortStableFunc(order, func(a, b candidate) int {
		if aLocal, bLocal := a.DataCentre == dataCentre, b.DataCentre == dataCentre; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(hash, b.hash), score(hash, a.hash))
	})
	for i := range order {
		dst = append(dst, order[i].ID)
	}
	return dst
}

// score combines the hashes of a name and a member. It applies the finalizer of
// SplitMix64, because the exclusive or of two hashes alone would order the members
// alike for all names.
func score(name, member uint64) uint64 {
	x := name ^ member
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
