package fulmartransport

import "net"

// Seal wraps c as the transport does, and returns the wrapper and its seal method.
func Seal(c net.Conn) (net.Conn, func() int64) {
	s := &sealableConn{Conn: c}
	return s, s.seal
}
