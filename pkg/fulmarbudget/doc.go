// Package fulmarbudget bounds the retries of each group.
//
// Each group has a bucket of retries. A first attempt adds ratio to it, and each
// second adds rate; it holds at most Burst and starts with the amount of one
// second. Over any interval, the retries of a group are therefore at most
// Burst + ratio * first attempts + rate * seconds.
//
// At most 4096 groups are kept; the least recently used one is dropped and
// starts with a new bucket when it returns.
//
// The package returns no errors. New panics if an argument is negative.
package fulmarbudget
