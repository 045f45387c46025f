// Package fulmarallowance limits the retries of a fleet of daemons without
// communication between them.
//
// Within any window the fleet may retry a share of the requests of each
// service, plus a fixed number of requests. Each daemon applies the limit to
// its own requests and to its part of the fixed number, so the limit of the
// fleet also holds while daemons have failed or are unreachable.
package fulmarallowance
