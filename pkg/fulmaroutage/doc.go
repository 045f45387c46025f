// Package fulmaroutage tells an outage of a service from failures of single
// calls.
//
// A Detector takes the outcomes of all calls to the service. An outage is a
// time in which several calls in a row got no answer; any answer ends it.
package fulmaroutage
