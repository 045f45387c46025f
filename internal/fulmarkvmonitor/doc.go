// Package fulmarkvmonitor tells outages of a store from the outcomes of the
// calls to it.
package fulmarkvmonitor
