package fulmartransport

import "net"

// Seal returns a connection as requests see it, and the func that seals it.
func Seal(c net.Conn) (net.Conn, func() int64) {
	s := &conn{Conn: c}
	return s, s.seal
}
