// Package fulmarstatus tells the statuses of HTTP answers from numbers that are
// none.
//
// net/http reads any three digits as a status, also 000 or 999, which no server
// sends that works.
package fulmarstatus
