package fulmarhttpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
)

const (
	readBuffer   = 4 << 10
	maxPipelined = 32 // requests of one connection that may be in flight
	writeTimeout = 30 * time.Second
	// maxDiscard limits the unread rest of a body that is read after its request was answered, so that the connection can be
	// used again.
	maxDiscard = 256 << 10
)

// errHeadTooLarge is returned for a request head over the limit.
var errHeadTooLarge = errors.New("fulmarhttpserver: request head is too large")

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server        *Server
	caller        string // whose memory the connection uses
	reader        *bufio.Reader
	limited       limitedReader
	ctx           context.Context
	cancel        context.CancelFunc
	pipelineSlots chan struct{}
	lastRead      bool // no request follows the one that was read last
	requests      int  // number of requests read
	group         sync.WaitGroup

	mu              sync.Mutex
	readEnd         context.Context // reads fail once it has ended
	inFlight        int
	lastStarted     int  // greatest number of a request that the handler has got
	startsNoLater   bool // the handler gets no request after lastStarted, whose answer ends the connection
	awaitingRequest bool // run waits for the first byte of a request
	ended           bool // no further answer is written
	mustReset       bool // the end of the connection would make an incomplete answer look complete
}

// limitedReader fails after a number of bytes, or if a read takes longer than readTimeout, unless that is 0.
type limitedReader struct {
	*conn
	remaining   int64
	readTimeout time.Duration
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.readTimeout > 0 {
		if err := b.setReadDeadline(time.Now().Add(b.readTimeout)); err != nil {
			return 0, err
		}
	}
	if b.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.conn.Read(p)
	b.remaining -= int64(n)
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, caller: callerOf(raw), pipelineSlots: make(chan struct{}, maxPipelined)}
	c.limited = limitedReader{conn: c}
	c.reader = bufio.NewReaderSize(&c.limited, readBuffer)
	return c
}

// run reads requests until the connection ends. ctx is that of the server.
func (c *conn) run(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.readEnd = c.ctx
	stop := context.AfterFunc(c.ctx, c.interruptReads)
	previous := closedChannel
	for c.ctx.Err() == nil {
		done, err := c.readRequest(previous)
		if err != nil {
			break
		}
		previous = done
	}
	// A caller that has closed its side no longer waits for answers, so its requests are cancelled. After the
	// last answer the context is already cancelled.
	c.cancel()
	c.group.Wait()
	stop()
	c.close(ctx)
}

var closedChannel = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// readRequest reads one request and starts to serve it. The returned channel is closed when it is answered.
func (c *conn) readRequest(previous chan struct{}) (chan struct{}, error) {
	limits := c.server.limits()
	if err := c.awaitRequest(limits); err != nil {
		return nil, err
	}
	if c.lastRead {
		<-previous
		return nil, net.ErrClosed
	}
	c.limited.remaining = int64(limits.HeaderBytes + readBuffer - c.reader.Buffered())
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.reject(previous, headErrorAnswer(err))
	}
	c.limited.remaining = 1 << 62
	if a := validate(r, limits); a != nil {
		return nil, c.reject(previous, a)
	}
	req := &Request{Request: r, ReceivedAt: time.Now(), RemoteAddress: c.RemoteAddr().String()}
	if !c.reserveBody(req) {
		return nil, c.reject(previous, noMemoryAnswer())
	}
	if err := c.readBody(previous, req, limits); err != nil {
		c.releaseBody(req)
		return nil, err
	}
	select {
	case c.pipelineSlots <- struct{}{}:
	case <-c.ctx.Done():
		c.releaseBody(req)
		return nil, c.ctx.Err()
	}
	done := make(chan struct{})
	c.requestStarted()
	c.requests++
	number := c.requests
	c.group.Go(func() {
		c.handle(req, number, previous, done)
		c.releaseBody(req)
		<-c.pipelineSlots
	})
	// After the last request of a connection, run still waits for bytes, as it learns in this way that the caller leaves.
	c.lastRead = req.Close
	if !req.Payload.Complete() {
		select {
		case <-done:
			// The rest of the body must be read first, or no other request follows.
			return done, c.discardBody(req.Payload)
		case <-req.Payload.Consumed():
		}
	}
	return done, nil
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(limits Limits) error {
	c.limited.readTimeout = 0
	if c.reader.Buffered() > 0 {
		return c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	c.limited.remaining = 1 << 62
	c.mu.Lock()
	c.awaitingRequest = true
	deadline := time.Time{}
	if c.inFlight == 0 {
		deadline = time.Now().Add(limits.IdleTimeout)
	}
	err := c.setReadDeadlineLocked(deadline)
	ended := c.ended
	c.mu.Unlock()
	if err == nil && ended || c.ctx.Err() != nil {
		err = net.ErrClosed
	}
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	c.mu.Lock()
	c.awaitingRequest = false
	c.mu.Unlock()
	if err != nil {
		return err
	}
	return c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
}

// readBody reads the first part of the request's body.
func (c *conn) readBody(previous chan struct{}, r *Request, limits Limits) error {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ContentLength != 0 {
		select {
		case <-previous:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if r.ContentLength != 0 {
		// A long body has no total time limit, only one for each read.
		c.limited.readTimeout = limits.HeaderTimeout
	}
	if r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limits.BodyBytes)
	}
	payload, err := fulmarbody.Read(r.Body, r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c.reject(previous, textAnswer(http.StatusRequestEntityTooLarge, "body is too large"))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.reject(previous, textAnswer(http.StatusRequestTimeout, "body did not arrive in time"))
	case err != nil:
		return err
	}
	payload.Retain(retention{c})
	r.Payload = payload
	c.trimReservation(r)
	return nil
}

// discardBody reads the rest of a body that the handler did not read, so that the connection can be reused.
func (c *conn) discardBody(body *fulmarbody.Body) error {
	if c.isEnded() {
		return net.ErrClosed
	}
	ended, err := body.Discard(maxDiscard)
	if err == nil && !ended {
		err = errors.New("fulmarhttpserver: unread rest of the body is too large to discard")
	}
	return err
}

func (c *conn) requestStarted() {
	c.server.inFlight.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
}

func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// handle runs the handler and writes its answer after those of the earlier requests. number counts the requests of the
// connection.
func (c *conn) handle(r *Request, number int, previous, done chan struct{}) {
	defer close(done)
	defer c.server.inFlight.Add(-1)
	repeatable := c.server.handler.Repeatable(r)
	if !repeatable {
		<-previous
		if c.isEnded() || c.ctx.Err() != nil {
			return
		}
	}
	if !c.start(number) {
		<-previous
		return
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	if c.server.requests.Err() != nil {
		cancel(ErrInterrupted) // the function below would run beside the handler, which could begin a send
	}
	defer context.AfterFunc(c.server.requests, func() { cancel(ErrInterrupted) })()
	a := c.server.handler.Serve(ctx, r)
	r.Payload.Forget() // nothing of it is sent any more
	if a != nil && len(a.Body) > 0 {
		n := int64(len(a.Body))
		c.server.memory.Add(n)
		defer c.server.memory.Add(-n)
	}
	<-previous
	c.writeAnswer(r.Request, number, a)
}

// start notes that the handler is about to get a request, and reports whether it may. A request before one that it has got is
// always served, as answers are matched to requests by their order.
func (c *conn) start(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startsNoLater && number > c.lastStarted {
		return false
	}
	c.lastStarted = max(c.lastStarted, number)
	return true
}

// endsConnection reports whether the answer to a request ends the connection, as the server shuts down. From the first such
// answer on, the handler gets no later requests; those up to the last one that it has got are answered before the connection
// ends.
func (c *conn) endsConnection(number int) bool {
	if !c.server.draining.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startsNoLater = true
	return number >= c.lastStarted
}

// errNotWritten is reported for answers of connections that have ended.
var errNotWritten = errors.New("fulmarhttpserver: connection has ended")

// writeAnswer writes an answer unless the connection has ended. The request counts as in flight until the answer is
// written, so that neither a shutdown nor the idle timeout ends the connection while a long answer is streamed.
func (c *conn) writeAnswer(r *http.Request, number int, a *Answer) {
	reusable := c.sendAnswer(r, number, a)
	c.mu.Lock()
	c.inFlight--
	last := c.inFlight == 0
	c.mu.Unlock()
	if reusable && last {
		c.resetIdleTimeout()
	}
}

// sendAnswer writes an answer and reports whether the connection can be reused.
func (c *conn) sendAnswer(r *http.Request, number int, a *Answer) bool {
	if c.isEnded() || c.ctx.Err() != nil {
		if a != nil {
			a.end(errNotWritten)
		}
		return false
	}
	if a == nil || a.Status == 0 {
		c.finish(true)
		return false
	}
	deadline := time.Now().Add(writeTimeout)
	if a.Remainder != nil && !a.Deadline.IsZero() && a.Deadline.Before(deadline) {
		deadline = a.Deadline
	}
	ended := false
	err := c.SetWriteDeadline(deadline)
	if err == nil {
		ended, err = a.write(c.Conn, r, r.Close || c.endsConnection(number))
	}
	a.end(err) // before finish, which ends the context of the connection as a caller does that leaves
	if err != nil || ended {
		c.finish(err != nil && !a.isDelimited(r))
	}
	return err == nil && !ended
}

// resetIdleTimeout sets the idle timeout of a connection that already waits for a request without a deadline.
func (c *conn) resetIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && c.inFlight == 0 && !c.ended {
		_ = c.setReadDeadlineLocked(time.Now().Add(c.server.limits().IdleTimeout)) // fails only on a closed connection
	}
}

// closeIfIdle closes the connection if no request is in flight on it. A request whose first byte has just been read is
// still served.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && c.inFlight == 0 && !c.ended {
		_ = c.SetReadDeadline(past) // fails only on a closed connection
	}
}
