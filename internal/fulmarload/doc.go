// Package fulmarload is an open-loop load generator for the callers' HTTP
// interface; it is no part of the system.
//
// Requests are sent at the rates of their groups, whether or not earlier ones
// were answered, so that a slow system is not asked less. Each request has a
// UUIDv7 id and is sent again with the same id, to any daemon, after an outcome
// other than served, until its attempts are used up. All random choices but the
// ids come from the seed.
package fulmarload
