// Package fulmarroute selects the service of a request.
//
// A Table holds the routes of one version of the operators' configuration. It
// selects the route of a request by host and longest path prefix; a Splitter
// divides the requests of a split route among services by weight. Tables are
// immutable; versions are compared by number.
package fulmarroute
