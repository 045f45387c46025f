// Package fulmarretention decides for which targets a process retains learned
// data, such as estimates of their response times.
//
// The records of targets disappear for some seconds after an outage of the
// store, so a target is dropped only after it has been absent for a whole span.
package fulmarretention
