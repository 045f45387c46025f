// Package fulmarcost estimates the server time of each kind of work from
// observations.
//
// The expected time of a kind is an exponentially weighted mean of the time that
// its requests used. For the first 10 observations it is the plain mean. A kind
// without observations is expected to take the median of its service.
//
// A kind is long if its typical time is at least ratio times the median of its
// service, and short again only below half of that, so that the class of a kind
// near the bound doesn't oscillate. The typical time is an exponentially
// weighted geometric mean, so a single outlier changes it little. A kind is short
// until it was observed twice and its service 16 times.
//
// The median comes from a histogram of times on a logarithmic scale with 8
// buckets for each power of two (an error of at most 5%), whose counts are
// halved at a total of 4096 so that the median follows changes.
//
// At most 4096 kinds are kept. Kinds observed only once are dropped first, so
// that a flood of arbitrary kinds doesn't displace the ones in use; then the
// least recently observed kind is dropped. The package returns no errors.
package fulmarcost
