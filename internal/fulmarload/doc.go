// Package fulmarload is an open-loop load generator for the callers' HTTP
// interface. It is used by tests and lab tools, not by the daemons.
//
// Requests are sent at the rates of their groups, whether or not earlier requests
// were answered, so that a slow system does not reduce its own load. Each request
// has a UUIDv7 id. After any outcome other than served it is retried with the same
// id at a random daemon, up to the maximum number of attempts. All random choices
// except the ids come from the seed.
package fulmarload
