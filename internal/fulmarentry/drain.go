package fulmarentry

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// drainTimeout is how long the rest of a body is read after the response was sent.
const drainTimeout = 500 * time.Millisecond

// trackedBody is a request body that records whether a read was begun and whether
// the end was reached.
type trackedBody struct {
	io.ReadCloser
	readBegun  atomic.Bool
	reachedEOF atomic.Bool
}

// Read reads from the body and records the progress.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.readBegun.Store(true)
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.reachedEOF.Store(true)
	}
	return n, err
}

// drain flushes the response and discards the rest of the body. If the connection
// were closed while the sender is still sending, a TCP reset could discard the
// response before the sender has read it. net/http prevents this only for requests
// without Expect: 100-continue.
func (b *trackedBody) drain(w http.ResponseWriter) {
	if !b.readBegun.Load() || b.reachedEOF.Load() {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, b.ReadCloser)
}
