package fulmarrate

// Source states how many requests a second the fleet may send to a target.
type Source interface {
	// Rate returns the rate in requests per second; limited is false if the source does not bound the target.
	Rate(target string) (perSecond float64, limited bool)
}

// Least is the least of the rates of several sources.
type Least []Source

// Rate implements Source.
func (l Least) Rate(target string) (perSecond float64, limited bool) {
	for _, s := range l {
		if rate, ok := s.Rate(target); ok && (!limited || rate < perSecond) {
			perSecond, limited = rate, true
		}
	}
	return perSecond, limited
}

// Table holds rates by target.
type Table map[string]float64

// Rate implements Source.
func (t Table) Rate(target string) (perSecond float64, limited bool) {
	perSecond, limited = t[target]
	return perSecond, limited
}
