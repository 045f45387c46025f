// Package fulmarkvforwarder forwards calls to the store through other daemons while
// the store cannot be reached directly.
//
// Idempotent calls (reads, and those that renew or end a lease) are hedged: if
// the store has not answered for a short time, they are made through another
// daemon as well. All other calls are forwarded only if the direct call
// certainly had no effect. Once a forwarded call has succeeded, calls are
// forwarded at once until the store answers a direct call again.
//
// So a leader that alone is cut off from the store keeps leading.
package fulmarkvforwarder
