// Package fulmarevacuationmonitor shows operators which data centres are
// evacuated, for how long, and what is left there, as far as a daemon knows: in
// the log when that changes, and as metrics.
package fulmarevacuationmonitor
