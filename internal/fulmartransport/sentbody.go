package fulmartransport

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errEnded is the error of a read of a request's body after the request has ended.
var errEnded = errors.New("fulmartransport: request has ended")

// sentBody is the body of a request. net/http may return an answer while another goroutine still reads the body.
type sentBody struct {
	io.ReadCloser
	sent chan struct{} // closed once net/http reads no more
	once sync.Once

	mu    sync.Mutex
	ended bool // reads fail
}

func newSentBody(b io.ReadCloser) *sentBody {
	return &sentBody{ReadCloser: b, sent: make(chan struct{})}
}

// Read drops what it has read if the request ends meanwhile, as somebody else may have read the bytes after it.
func (b *sentBody) Read(p []byte) (int, error) {
	if b.isEnded() {
		return 0, errEnded
	}
	n, err := b.ReadCloser.Read(p)
	if b.isEnded() {
		return 0, errEnded
	}
	return n, err
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
func (b *sentBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

func (b *sentBody) isEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}
