// Package fulmarprocess starts the servers of a test as processes and sends
// signals to them.
package fulmarprocess
