package fulmarrank

// Member is a candidate.
type Member struct {
	ID         string
	DataCentre string
}

// Ranker ranks members for a name by rendezvous hashing.
type Ranker struct{}

// New returns a ranker over the members.
func New(members []Member) Ranker { panic("fulmarrank: not implemented") }

// First returns the best member for name, preferring those in dataCentre.
func (r Ranker) First(name, dataCentre string) (string, bool) { panic("fulmarrank: not implemented") }

// Rank appends all members to dst, best first.
func (r Ranker) Rank(dst []string, name, dataCentre string) []string {
	panic("fulmarrank: not implemented")
}
