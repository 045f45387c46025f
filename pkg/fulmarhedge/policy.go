package fulmarhedge

import "github.com/pkg/errors"

const (
	// defaultQuantile makes a request late once it has waited longer than 97 in 100 of those before it, so that a limit of a few
	// percent suffices for all late requests on a usual day.
	defaultQuantile = 0.97
	// maxShare is the largest share of requests that may be hedged. Beyond it, the work that is done twice costs all callers more
	// than the slowest ones gain.
	maxShare = 0.1
)

// Policy is an operator's limit of hedged requests; it is immutable. The zero value permits none.
type Policy struct {
	share    float64
	quantile float64
}

// NewPolicy returns a policy in which at most share of the requests are hedged, 0 for none.
func NewPolicy(share float64) Policy { return Policy{share: share, quantile: defaultQuantile} }

// WithQuantile returns a policy in which an answer is late once it takes longer than the share q of the answers before it.
func (p Policy) WithQuantile(q float64) Policy {
	p.quantile = q
	return p
}

// Enabled reports whether the policy permits any hedged requests.
func (p Policy) Enabled() bool { return p.share > 0 }

// Check returns an error if the policy has a share or a quantile that is out of range.
func (p Policy) Check() error {
	switch {
	case p.share == 0:
		return nil
	case !(p.share > 0 && p.share <= maxShare): // also for NaN
		return errors.Errorf("fulmarhedge: share %g of hedged requests is not between 0 and %g", p.share, maxShare)
	case !(p.quantile >= 0.5 && p.quantile < 1):
		return errors.Errorf("fulmarhedge: quantile %g of late answers is not between 0.5 and 1", p.quantile)
	}
	return nil
}
