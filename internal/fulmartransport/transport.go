package fulmartransport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconn"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhead"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstatus"
)

// Limits of connections; sizes are in bytes.
const (
	dialTimeout            = 500 * time.Millisecond
	keepAlive              = 15 * time.Second
	idleTimeout            = 90 * time.Second
	continueTimeout        = time.Second
	maxResponseHeaderBytes = 64 << 10
	bufferSize             = 8 << 10
)

// ErrUnsent means that no byte of the request was sent and that none will be.
var ErrUnsent = errors.New("fulmartransport: request not sent")

// ErrForeign means that the answer on the connection does not bear the id of the request, which may have run.
var ErrForeign = errors.New("fulmartransport: answer does not bear the id of its request")

// errSealed is the error of a write to a connection after it was sealed.
var errSealed = errors.New("fulmartransport: connection sealed")

// Transport is a pool of connections; it is safe for concurrent use.
type Transport struct {
	http *http.Transport
}

// New returns a transport that opens at most connections connections to each
// address, from the local IP address source or, if source is nil, from any.
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
			return &sealableConn{Conn: fulmarconn.New(c)}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
		DisableCompression:     true,
	}}
}

// Close closes idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// RoundTrip sends the request at most once. The caller must close the response body. The body of the request isn't read after
// RoundTrip has returned: it is sent to its end before an answer below 400 is returned, and not further behind another one.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.roundTrip(r, &connTracker{})
}

// RoundTripWithID is a RoundTrip to a server that may send an answer twice. It sends a new id in the given header, which
// the server has to repeat in its answer. If the answer bears another id or none, RoundTripWithID closes the connection,
// on which the answers no longer correspond to the requests, and returns an error that matches ErrForeign.
func (t *Transport) RoundTripWithID(r *http.Request, header string) (*http.Response, error) {
	id := uuid.NewString()
	r.Header.Set(header, id)
	var u connTracker
	resp, err := t.roundTrip(r, &u)
	if err != nil {
		return nil, err
	}
	if resp.Header.Get(header) != id {
		u.close()
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrForeign, "status %d", resp.StatusCode)
	}
	return resp, nil
}

// roundTrip sends the request at most once and records its connections in u.
func (t *Transport) roundTrip(r *http.Request, u *connTracker) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { u.attach(info.Conn) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	disableResend(r)
	var body *sentBody
	if r.Body != nil && r.Body != http.NoBody {
		body = newSentBody(r.Body, r.ContentLength)
		defer body.end()
		r.Body = body
	}
	resp, err := t.http.RoundTrip(r)
	if err == nil {
		if err = checkHead(resp); err != nil {
			// Bytes of a server in trouble: what follows on the connection may be no answer either.
			u.close()
			_ = resp.Body.Close()
		}
	}
	if err == nil && body != nil && resp.StatusCode < http.StatusBadRequest {
		if err = body.awaitSent(r.Context()); err != nil {
			_ = resp.Body.Close()
		}
	}
	if err == nil {
		return resp, nil
	}
	if u.sealUnsent() {
		return nil, errors.Wrap(ErrUnsent, err.Error())
	}
	return nil, errors.Wrap(err, "fulmartransport: request failed and may have been sent")
}

// checkHead returns an error for a head that is none although net/http accepts it.
func checkHead(resp *http.Response) error {
	if !fulmarstatus.Code(resp.StatusCode).IsFinal() {
		return errors.Errorf("status %d is none", resp.StatusCode)
	}
	return fulmarhead.Fields(resp.Header).Check()
}

// disableResend keeps net/http from retrying the request: it never resends a body without GetBody, and it recognises
// an idempotency header only under its canonical name.
func disableResend(r *http.Request) {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		switch r.Method {
		case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			r.Body, r.ContentLength = emptyBody{}, -1
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

// emptyBody is a body without content; net/http detects that it is empty and sends no body.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// connTracker records the connections that net/http assigns to a request and whether bytes were written to them.
type connTracker struct {
	mu            sync.Mutex
	conn          *sealableConn // assigned last; nil before the first
	writtenBefore int64         // bytes written to conn before it was assigned
	maybeSent     bool          // bytes may have been written to an earlier connection or to one without a counter
}

// attach records that the request is about to be written to c, and seals the previous connection.
func (u *connTracker) attach(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.seal() != u.writtenBefore {
		u.maybeSent = true
	}
	u.conn, _ = c.(*sealableConn)
	if u.conn == nil {
		u.maybeSent = true
		return
	}
	u.writtenBefore = u.conn.bytesWritten()
}

// sealUnsent reports whether no byte was written, and seals the connection so that none is written later.
func (u *connTracker) sealUnsent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.maybeSent && (u.conn == nil || u.conn.seal() == u.writtenBefore)
}

// close closes the connection that was assigned last. A request that net/http assigns to it at the same time counts as
// not sent unless a byte of it was written.
func (u *connTracker) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil {
		u.conn.seal()
		_ = u.conn.Close()
	}
}

// sealableConn counts the bytes written to a connection and can reject further writes.
type sealableConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before it writes them, because a failed write may have sent a part.
func (c *sealableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// bytesWritten returns the number of bytes written so far.
func (c *sealableConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all later writes fail and returns the number of bytes written so far.
func (c *sealableConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
