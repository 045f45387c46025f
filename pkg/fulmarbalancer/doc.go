// Package fulmarbalancer chooses a target among those that can serve a request.
//
// A Balancer estimates the cost of a request at each target from the daemon's
// own requests in flight, the load that the target reported with its last
// response, the moving average of its response times and its recent failures.
// Some targets report how slow their work is at the moment as well, as they share
// their machines with others. What is reported decays exponentially, as it is
// outdated by the time it is used.
package fulmarbalancer
