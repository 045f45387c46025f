package fulmarrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a candidate.
type Member struct {
	ID         string
	DataCentre string
}

// candidate is a member with the hash of its id.
type candidate struct {
	Member
	hash uint64
}

// Ranker ranks members for a name by rendezvous hashing.
type Ranker struct {
	candidates []candidate // ascending by id
}

// New returns a ranker over the members.
func New(members []Member) Ranker {
	r := Ranker{candidates: make([]candidate, len(members))}
	for i, m := range members {
		r.candidates[i] = candidate{Member: m, hash: xxhash.Sum64String(m.ID)}
	}
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// First returns the best member for name, preferring those in dataCentre.
func (r Ranker) First(name, dataCentre string) (string, bool) {
	hash := xxhash.Sum64String(name)
	best, bestLocal, bestScore := -1, false, uint64(0)
	for i := range r.candidates {
		c := &r.candidates[i]
		local, s := c.DataCentre == dataCentre, score(hash, c.hash)
		if best < 0 || (local && !bestLocal) || (local == bestLocal && s > bestScore) {
			best, bestLocal, bestScore = i, local, s
		}
	}
	if best < 0 {
		return "", false
	}
	return r.candidates[best].ID, true
}

// Rank appends all members to dst, best first.
func (r Ranker) Rank(dst []string, name, dataCentre string) []string {
	hash := xxhash.Sum64String(name)
	order := slices.Clone(r.candidates)
	slices.SortStableFunc(order, func(a, b candidate) int {
		if la, lb := a.DataCentre == dataCentre, b.DataCentre == dataCentre; la != lb {
			if la {
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

// score mixes the hashes of a name and a member with the finalizer of SplitMix64,
// because the exclusive or of two hashes alone would order all names' members alike.
func score(name, member uint64) uint64 {
	x := name ^ member
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
