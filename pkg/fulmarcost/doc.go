// Package fulmarcost learns the server time of each kind of work.
//
// The expected time of a kind is an exponentially weighted mean of what its
// requests used; until the weight of the mean is reached, it is the plain mean.
// A kind that isn't known is expected to take the median of its service.
//
// A kind is long if its typical time is at least ratio times the median of its
// service, and short again only below half of that, so that the class of a kind
// near the bound doesn't oscillate. The typical time is an exponentially
// weighted geometric mean, which a single outlier moves little. A kind is short
// until it was seen twice and its service 16 times.
//
// The median comes from a histogram of times on a logarithmic scale with 8
// buckets for each power of two (an error of at most 5%), whose counts are
// halved from time to time so that it follows changes.
//
// At most 4096 kinds are kept. Kinds seen only once are dropped first, so that
// a flood of invented kinds doesn't displace the ones in use; then the kind
// that was not seen for longest goes. The package returns no errors.
package fulmarcost
