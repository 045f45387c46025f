// Package fulmarpeer is the RPC client and server for control messages between
// daemons, over drpc.
//
// Before the first call both sides prove knowledge of the shared key: they
// exchange nonces and reply with an HMAC-SHA256 over both, so a recorded
// handshake can't be replayed. The handshake contains the protocol version; the
// connection uses the lower of the two versions, and version 0 is rejected.
// Messages have at most 2 MB. A Client connects on first use and reconnects
// after an error; calls on one client are serialised by drpc.
package fulmarpeer
