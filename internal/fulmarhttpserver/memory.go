package fulmarhttpserver

import (
	"net"
	"net/http"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
)

// memoryRetryAfter is the Retry-After value in seconds of requests for whose bodies there was no room. Bodies that are held leave
// within the time of a request, which is about a second.
const memoryRetryAfter = "1"

// shortBody is the longest body, in bytes, that is read whether there is room or not. A refusal would save less than it costs.
const shortBody = 4 << 10

// heldBytes returns the number of bytes of a request's body that are held until it is answered, as far as its head tells.
func heldBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return fulmarbody.PrefixLimit
	}
	return min(r.ContentLength, fulmarbody.PrefixLimit)
}

// callerOf returns the name under which the memory of a connection's caller is counted: its address without the port, as a caller
// may have many connections.
func callerOf(c net.Conn) string {
	address := c.RemoteAddr().String()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// reserveBody reserves memory for the part of a request's body that is held, and reports whether there was room.
func (c *conn) reserveBody(r *Request) bool {
	n := heldBytes(r.Request)
	if n <= shortBody {
		c.server.memory.Add(n)
		r.short = n
		return true
	}
	if !c.server.memory.Reserve(c.caller, n) {
		return false
	}
	r.held = n
	return true
}

// trimReservation releases what was reserved for a body of unknown length that has turned out to be shorter.
func (c *conn) trimReservation(r *Request) {
	if n := r.Payload.Length(); n >= 0 && n < r.held {
		c.server.memory.Release(c.caller, r.held-n)
		r.held = n
	}
}

// releaseBody ends the reservations for a request that has been answered, or is not served.
func (c *conn) releaseBody(r *Request) {
	if r.Payload != nil {
		r.Payload.Forget()
	}
	c.server.memory.Release(c.caller, r.held)
	c.server.memory.Add(-r.short)
	r.held, r.short = 0, 0
}

// noMemoryAnswer returns the answer to a request for whose body there is no room. It was not executed.
func noMemoryAnswer() *Answer {
	a := textAnswer(http.StatusServiceUnavailable, "no room for the body of the request")
	a.Header.Set("Retry-After", memoryRetryAfter)
	return a
}

// retention lets a body retain bytes in the memory of a connection's caller.
type retention struct{ *conn }

// Reserve implements fulmarbody.Memory.
func (m retention) Reserve(n int64) bool { return m.server.memory.ReserveOptional(m.caller, n) }

// Release implements fulmarbody.Memory.
func (m retention) Release(n int64) { m.server.memory.Release(m.caller, n) }
