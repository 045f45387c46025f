// Package fulmarprocess starts the servers of tests as processes and sends them
// signals.
package fulmarprocess
