package fulmarhttpserver

import (
	"context"
	"net"
	"time"
)

const (
	// lingerQuiet is the time without a byte of the caller after which it is taken to send nothing more.
	lingerQuiet = 500 * time.Millisecond
	// lingerTimeout limits the time for which a connection without further answers stays open.
	lingerTimeout = 5 * time.Second
	// lingerBuffer is the size of the buffer for discarded bytes.
	lingerBuffer = 32 << 10
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// setReadDeadline sets the deadline of reads, unless the reads of the connection have ended.
func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setReadDeadlineLocked(t)
}

// setReadDeadlineLocked is setReadDeadline for a caller that holds mu.
func (c *conn) setReadDeadlineLocked(t time.Time) error {
	if c.readEnd.Err() != nil {
		t = past
	}
	return c.SetReadDeadline(t)
}

// interruptReads ends a read that waits if the reads of the connection have ended.
func (c *conn) interruptReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readEnd.Err() != nil {
		_ = c.SetReadDeadline(past) // fails only on a closed connection
	}
}

// finish marks that no further answer is written, and ends the reading of requests and the context of those in flight. With
// mustReset, the connection ends by a reset.
func (c *conn) finish(mustReset bool) {
	c.mu.Lock()
	c.ended = true
	c.mustReset = mustReset
	c.mu.Unlock()
	c.cancel()
}

// close ends the connection after all handlers have returned. What was written is delivered first, unless the connection must be
// reset. ctx is that of the server.
func (c *conn) close(ctx context.Context) {
	c.mu.Lock()
	c.readEnd = ctx
	mustReset := c.mustReset
	c.mu.Unlock()
	t, ok := c.Conn.(*net.TCPConn)
	switch {
	case !ok:
	case mustReset:
		_ = t.SetLinger(0) // the connection is closed below in any case
	case t.CloseWrite() == nil:
		c.discardInput(ctx)
	}
	c.Close()
}

// discardInput reads what the caller still sends until it closes its side, is quiet, or has sent as much as its longest body: a
// connection that is closed with unread bytes is reset, which drops what the caller has not received.
func (c *conn) discardInput(ctx context.Context) {
	defer context.AfterFunc(ctx, c.interruptReads)()
	end := time.Now().Add(lingerTimeout)
	buf := make([]byte, lingerBuffer)
	for left := c.server.limits().BodyBytes; left > 0; {
		deadline := time.Now().Add(lingerQuiet)
		if deadline.After(end) {
			deadline = end
		}
		if c.setReadDeadline(deadline) != nil {
			return
		}
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		left -= int64(n)
	}
}
