// Package fulmarloads counts the requests of single keys between reports to the
// leader.
package fulmarloads
