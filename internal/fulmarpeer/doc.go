// Package fulmarpeer carries the control messages between daemons over drpc.
//
// Before the first call both sides prove that they know the shared key: they
// exchange nonces and answer with an HMAC-SHA256 over both, so a recorded
// handshake can't be replayed. The handshake names the protocol version; the
// connection speaks the lower of the two versions, and version 0 is refused.
// Messages are at most 2 MB. A Client opens its connection on first use and
// opens a new one after an error; calls on one client are serialised by drpc.
package fulmarpeer
