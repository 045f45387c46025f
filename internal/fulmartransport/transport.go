package fulmartransport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the connections.
const (
	dialTimeout     = 500 * time.Millisecond
	keepAlive       = 15 * time.Second
	idleTimeout     = 90 * time.Second
	continueTimeout = time.Second
	headerBytes     = 64 << 10
	bufferBytes     = 8 << 10
)

// ErrUnsent states that no byte of the request was sent.
var ErrUnsent = errors.New("fulmartransport: request not sent")

// errSealed fails the writes of a request that was reported as not sent.
var errSealed = errors.New("fulmartransport: connection sealed")

// Transport is a pool of connections; it is safe for concurrent use.
type Transport struct {
	http *http.Transport
}

// New returns a transport with at most connections connections to each address.
// They are opened from the local address source, or from any if it is nil.
func New(connections int, source net.IP) *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &Transport{http: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: headerBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DisableCompression:     true,
	}}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// RoundTrip sends the request at most once. The answer's body must be closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var u use
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { u.take(info.Conn) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	once(r)
	resp, err := t.http.RoundTrip(r)
	if err == nil {
		return resp, nil
	}
	if u.unsent() {
		return nil, errors.Wrap(ErrUnsent, err.Error())
	}
	return nil, errors.Wrap(err, "fulmartransport: request broken off")
}

// once makes the request unfit for the resending that net/http does on its own: a body without
// GetBody is never replayed. An idempotency header counts only under its canonical name.
func once(r *http.Request) {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		switch r.Method {
		case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			r.Body, r.ContentLength = empty{}, -1
		}
	}
	for name, lower := range map[string]string{
		"Idempotency-Key":   "idempotency-key",
		"X-Idempotency-Key": "x-idempotency-key",
	} {
		if v, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[lower] = v
		}
	}
}

// empty is a body without content; net/http probes it and sends no body.
type empty struct{}

func (empty) Read([]byte) (int, error) { return 0, io.EOF }
func (empty) Close() error             { return nil }

// use is the connections that one request was given.
type use struct {
	mu    sync.Mutex
	conn  *conn
	start int64
	sent  bool
}

// take notes that the request is about to be written to c.
func (u *use) take(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.seal() != u.start {
		u.sent = true
	}
	u.conn, _ = c.(*conn)
	if u.conn == nil {
		u.sent = true
		return
	}
	u.start = u.conn.count()
}

// unsent reports whether no byte was written and prevents that one is written later.
func (u *use) unsent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.sent && (u.conn == nil || u.conn.seal() == u.start)
}

// conn counts the bytes written to a connection.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts a write as done before it starts, because a failed write may have sent a part.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal fails all later writes and returns the number of bytes written so far.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
