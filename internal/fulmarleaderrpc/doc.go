// Package fulmarleaderrpc implements the protocol between daemons and their leader.
//
// A daemon sends a Report with the load that it observes and the versions that
// it has. The leader answers with an Update of what is newer: at once if there
// is a change, else after a short wait (long polling). So a change reaches all
// daemons at once, and an unresponsive leader is noticed. The calls use drpc
// with CBOR encoding.
package fulmarleaderrpc
