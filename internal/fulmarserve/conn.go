package fulmarserve

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
	maxPipelined = 32 // requests of one connection that are read before the first is answered
	writeTimeout = 30 * time.Second
	// lingerTimeout is how long the caller's remaining bytes are read after the last answer. Closing with
	// unread bytes resets the connection, which may drop the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// errHeader is returned for a head over the limit.
var errHeader = errors.New("fulmarserve: head of the request is too large")

// conn is the connection of a caller.
type conn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	bound  bound
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	group  sync.WaitGroup

	mu       sync.Mutex
	inFlight int
	awaiting bool // the reader waits for the first byte of a request
	ended    bool // the last answer was written or the connection broke
}

// bound is a reader that fails after a number of bytes, or if a read takes longer than pace, unless that is 0.
type bound struct {
	net.Conn
	left int64
	pace time.Duration
}

func (b *bound) Read(p []byte) (int, error) {
	if b.pace > 0 {
		if err := b.SetReadDeadline(time.Now().Add(b.pace)); err != nil {
			return 0, err
		}
	}
	if b.left <= 0 {
		return 0, errHeader
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.Conn.Read(p)
	b.left -= int64(n)
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, slots: make(chan struct{}, maxPipelined)}
	c.bound = bound{Conn: raw}
	c.reader = bufio.NewReaderSize(&c.bound, readBuffer)
	return c
}

// run reads requests until the connection ends.
func (c *conn) run(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	// A cancelled connection interrupts a read that waits for the next request.
	stop := context.AfterFunc(c.ctx, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	previous := closedChannel
	for c.ctx.Err() == nil {
		done, err := c.next(previous)
		if err != nil {
			break
		}
		previous = done
	}
	// A caller that closed its side has left; its requests are cancelled. After the last answer the
	// connection is already ended.
	c.cancel()
	c.group.Wait()
	stop()
	c.linger()
	c.Close()
}

var closedChannel = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// linger reads what the caller still sends after the last answer.
func (c *conn) linger() {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	t, ok := c.Conn.(*net.TCPConn)
	if !ended || !ok || t.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the bytes are of no use
	}
}

// next reads one request and starts to serve it. The channel is closed when it is answered.
func (c *conn) next(previous chan struct{}) (chan struct{}, error) {
	limits := c.server.limits()
	if err := c.await(limits); err != nil {
		return nil, err
	}
	c.bound.left = int64(limits.HeaderBytes + readBuffer - c.reader.Buffered())
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.reject(previous, headFault(err))
	}
	c.bound.left = 1 << 62
	if a := invalid(r, limits); a != nil {
		return nil, c.reject(previous, a)
	}
	req := &Request{Request: r, ReceivedAt: time.Now(), RemoteAddress: c.RemoteAddr().String()}
	if err := c.body(previous, req, limits); err != nil {
		return nil, err
	}
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return nil, c.ctx.Err()
	}
	done := make(chan struct{})
	c.begin()
	c.group.Go(func() {
		c.serve(req, previous, done)
		<-c.slots
	})
	if !req.Payload.Complete() || req.Close || !r.ProtoAtLeast(1, 1) {
		// The rest of the body belongs to this request, or no other request follows.
		<-done
		if !req.Payload.Complete() {
			return done, c.skip(r.Body)
		}
	}
	return done, nil
}

// await waits for the first byte of a request.
func (c *conn) await(limits Limits) error {
	c.bound.pace = 0
	if c.reader.Buffered() > 0 {
		return c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	c.bound.left = 1 << 62
	c.mu.Lock()
	c.awaiting = true
	deadline := time.Time{}
	if c.inFlight == 0 {
		deadline = time.Now().Add(limits.IdleTimeout)
	}
	err := c.SetReadDeadline(deadline)
	ended := c.ended
	c.mu.Unlock()
	if err == nil && ended || c.ctx.Err() != nil {
		err = net.ErrClosed
	}
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	c.mu.Lock()
	c.awaiting = false
	c.mu.Unlock()
	if err != nil {
		return err
	}
	return c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
}

// body reads the first part of the request's body.
func (c *conn) body(previous chan struct{}, r *Request, limits Limits) error {
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
		// A long body may take its time as long as it arrives.
		c.bound.pace = limits.HeaderTimeout
	}
	if r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limits.BodyBytes)
	}
	payload, err := fulmarbody.Read(r.Body, r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c.reject(previous, fault(http.StatusRequestEntityTooLarge, "body is too large"))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.reject(previous, fault(http.StatusRequestTimeout, "body did not arrive in time"))
	case err != nil:
		return err
	}
	r.Payload = payload
	return nil
}

// skip reads the rest of a body that the handler did not need, so that the connection can be used again.
func (c *conn) skip(body io.Reader) error {
	if c.isEnded() {
		return net.ErrClosed
	}
	n, err := io.CopyN(io.Discard, body, lingerBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil && n == lingerBytes {
		err = errors.New("fulmarserve: body was not read")
	}
	return err
}

func (c *conn) begin() {
	c.server.busy.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
}

func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// serve runs the handler and writes its answer in turn.
func (c *conn) serve(r *Request, previous, done chan struct{}) {
	defer close(done)
	defer c.server.busy.Add(-1)
	repeatable := c.server.handler.Repeatable(r)
	if !repeatable {
		<-previous
		if c.isEnded() || c.ctx.Err() != nil {
			return
		}
	}
	a := c.server.handler.Serve(c.ctx, r)
	<-previous
	c.answer(r.Request, a)
}

// answer writes an answer unless the connection has ended.
func (c *conn) answer(r *http.Request, a *Answer) {
	c.mu.Lock()
	c.inFlight--
	last := c.inFlight == 0
	ended := c.ended
	c.mu.Unlock()
	if ended || c.ctx.Err() != nil {
		if a != nil && a.Remainder != nil {
			a.Remainder.Close()
		}
		return
	}
	if a == nil || a.Status == 0 {
		c.abort()
		return
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.abort()
		return
	}
	closing := r.Close || c.server.draining.Load()
	ended, err := a.write(c.Conn, r, closing)
	if err != nil {
		c.abort()
		return
	}
	if ended {
		c.end()
		return
	}
	if last {
		c.restart()
	}
}

// restart sets the idle time of a connection whose reader already waits without a bound.
func (c *conn) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && c.inFlight == 0 && !c.ended {
		_ = c.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout)) // fails only on a closed connection
	}
}

// end marks that the last answer was written and stops the reader.
func (c *conn) end() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.cancel()
}

// abort breaks the connection off, so that an incomplete answer does not look complete.
func (c *conn) abort() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the close that follows breaks the connection off either way
	}
	c.Close()
	c.cancel()
}

// closeIfIdle closes the connection if no request is in flight on it. A request whose first byte is being read
// at that moment is still served.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && c.inFlight == 0 && !c.ended {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// reject answers a request that is not served, after the earlier ones, and ends the connection.
func (c *conn) reject(previous chan struct{}, a *Answer) error {
	if a == nil {
		return net.ErrClosed
	}
	select {
	case <-previous:
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	c.begin()
	defer c.server.busy.Add(-1)
	a.Close = true
	c.server.log.Info("request rejected", "remote", c.RemoteAddr().String(), "status", a.Status, "reason", string(a.Body))
	c.answer(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, a)
	return net.ErrClosed
}

func fault(status int, text string) *Answer {
	return &Answer{Status: status, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, Body: []byte(text)}
}

// headFault returns the answer to a head that cannot be read; nil if the caller has left.
func headFault(err error) *Answer {
	switch {
	case errors.Is(err, errHeader):
		return fault(http.StatusRequestHeaderFieldsTooLarge, "head of the request is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault(http.StatusRequestTimeout, "head of the request did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	var network net.Error
	if errors.As(err, &network) {
		return nil
	}
	return fault(http.StatusBadRequest, "request cannot be read")
}

// invalid returns the answer to a request that is not valid, or nil.
func invalid(r *http.Request, limits Limits) *Answer {
	switch {
	case r.ProtoMajor != 1:
		return fault(http.StatusHTTPVersionNotSupported, "protocol version is not supported")
	case r.Host == "" || strings.ContainsAny(r.Host, "/ \t@"):
		return fault(http.StatusBadRequest, "host is missing or not valid")
	case !strings.HasPrefix(r.RequestURI, "/"):
		return fault(http.StatusBadRequest, "request target is not a path")
	case r.ContentLength > limits.BodyBytes:
		return fault(http.StatusRequestEntityTooLarge, "body is too large")
	}
	return nil
}
