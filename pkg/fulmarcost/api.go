package fulmarcost

import "time"

// Estimator learns the server time of each kind of work; it is safe for concurrent use.
type Estimator struct{}

// New returns an estimator that takes work as long from ratio times the median of its service.
func New(ratio float64) *Estimator { panic("fulmarcost: not implemented") }

// Observe records the time that a request of a kind used.
func (e *Estimator) Observe(service, kind string, used time.Duration) {
	panic("fulmarcost: not implemented")
}

// Estimate returns the expected time of a kind and whether it is long work.
func (e *Estimator) Estimate(service, kind string) (expected time.Duration, long bool) {
	panic("fulmarcost: not implemented")
}
