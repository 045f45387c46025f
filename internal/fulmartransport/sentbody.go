package fulmartransport

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errEnded is the error of a read of a request's body after the request has ended.
var errEnded = errors.New("fulmartransport: request has ended")

// sentBody is the body of a request. net/http may return an answer while another goroutine still reads the body.
type sentBody struct {
	io.ReadCloser
	length int64         // announced length, -1 if it isn't known
	read   int64         // bytes returned so far; only reads use it
	sent   chan struct{} // closed once net/http reads no more
	once   sync.Once
	ended  atomic.Bool // reads fail
}

func newSentBody(b io.ReadCloser, length int64) *sentBody {
	return &sentBody{ReadCloser: b, length: length, sent: make(chan struct{})}
}

// Read drops what it has read if the request ends meanwhile, as somebody else may have read the bytes after it.
func (b *sentBody) Read(p []byte) (int, error) {
	if b.ended.Load() {
		return 0, b.endError()
	}
	n, err := b.ReadCloser.Read(p)
	if b.ended.Load() {
		return 0, b.endError()
	}
	b.read += int64(n)
	return n, err
}

// endError returns the error of a read after the request has ended. A body of known length that has been read whole ends as usual:
// the server may have answered it before net/http looks for its end, and the connection can be used again.
func (b *sentBody) endError() error {
	if b.read == b.length {
		return io.EOF
	}
	return errEnded
}

// Close closes the body. net/http calls it once it reads no more.
func (b *sentBody) Close() error {
	b.once.Do(func() { close(b.sent) })
	return b.ReadCloser.Close()
}

// awaitSent waits until net/http reads no more.
func (b *sentBody) awaitSent(ctx context.Context) error {
	select {
	case <-b.sent:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "fulmartransport: request was not sent to its end")
	}
}

// end makes later reads fail.
func (b *sentBody) end() { b.ended.Store(true) }
