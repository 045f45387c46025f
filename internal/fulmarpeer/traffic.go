package fulmarpeer

import (
	"net"
	"sync/atomic"

	"storj.io/drpc"
)

// Traffic counts what passes over a daemon's control connections; it is safe
// for concurrent use, and a nil Traffic counts nothing.
type Traffic struct{ sent, received, calls, answered atomic.Uint64 }

// Sent returns the number of bytes written to control connections, without the
// headers of TCP and IP.
func (t *Traffic) BytesSent() uint64 { return t.sent.Load() }

// Received returns the number of bytes read from control connections.
func (t *Traffic) BytesReceived() uint64 { return t.received.Load() }

// Calls returns the number of calls to peers that were answered.
func (t *Traffic) CallsAnswered() uint64 { return t.calls.Load() }

// Answered returns the number of calls of peers that reached the handler.
func (t *Traffic) CallsServed() uint64 { return t.answered.Load() }

// Count makes the client count in t; it must precede the first call.
func (c *Client) CountTraffic(t *Traffic) *Client {
	c.traffic = t
	return c
}

// Count makes the server count in t; it must precede Serve.
func (s *Server) CountTraffic(t *Traffic) *Server {
	s.traffic = t
	return s
}

// wrap returns conn with its bytes counted.
func (t *Traffic) wrap(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &counted{Conn: conn, traffic: t}
}

func (t *Traffic) called() {
	if t != nil {
		t.calls.Add(1)
	}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	traffic *Traffic
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// counting is a drpc handler that counts the calls.
type counting struct {
	drpc.Handler
	server *Server
}

func (c counting) HandleRPC(stream drpc.Stream, rpc string) error {
	if t := c.server.traffic; t != nil {
		t.answered.Add(1)
	}
	return c.Handler.HandleRPC(stream, rpc)
}
