package fulmarpeer

import (
	"net"
	"sync/atomic"

	"storj.io/drpc"
)

// Traffic counts the bytes and calls on a daemon's control connections. It is
// safe for concurrent use; clients and servers with a nil Traffic count nothing.
type Traffic struct{ sent, received, calls, answered atomic.Uint64 }

// BytesSent returns the number of bytes written to control connections, excluding
// TCP and IP headers.
func (t *Traffic) BytesSent() uint64 { return t.sent.Load() }

// BytesReceived returns the number of bytes read from control connections.
func (t *Traffic) BytesReceived() uint64 { return t.received.Load() }

// CallsAnswered returns the number of calls to peers that were answered.
func (t *Traffic) CallsAnswered() uint64 { return t.calls.Load() }

// CallsServed returns the number of calls from peers that reached the handler.
func (t *Traffic) CallsServed() uint64 { return t.answered.Load() }

// CountTraffic makes the client count its traffic in t; it must be called before the first RPC.
func (c *Client) CountTraffic(t *Traffic) *Client {
	c.traffic = t
	return c
}

// CountTraffic makes the server count its traffic in t; it must be called before Serve.
func (s *Server) CountTraffic(t *Traffic) *Server {
	s.traffic = t
	return s
}

// wrap returns conn with counting of its bytes, or conn itself if t is nil.
func (t *Traffic) wrap(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countingConn{Conn: conn, traffic: t}
}

// addAnsweredCall counts a call to a peer that was answered.
func (t *Traffic) addAnsweredCall() {
	if t != nil {
		t.calls.Add(1)
	}
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// countingHandler is a drpc handler that counts calls from peers.
type countingHandler struct {
	drpc.Handler
	server *Server
}

func (c countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if t := c.server.traffic; t != nil {
		t.answered.Add(1)
	}
	return c.Handler.HandleRPC(stream, rpc)
}
