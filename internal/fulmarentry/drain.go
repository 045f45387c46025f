package fulmarentry

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// drainTimeout is how long the rest of a body is read after the response was sent.
const drainTimeout = 500 * time.Millisecond

// errRequestEnded is the error of a read of a request body after the handler has ended its use.
var errRequestEnded = errors.New("fulmarentry: request has ended")

// trackedBody is a request body that records whether a read was begun and whether
// the end was reached. After drain, only drain itself reads the body.
type trackedBody struct {
	io.ReadCloser
	reading    sync.Mutex  // held while the body is read
	drained    atomic.Bool // reads that begin from now on fail
	readBegun  atomic.Bool
	reachedEOF atomic.Bool
}

// Read reads from the body and records the progress.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.drained.Load() {
		return 0, errRequestEnded
	}
	b.readBegun.Store(true)
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.reachedEOF.Store(true)
	}
	return n, err
}

// drain ends the use of the body, flushes the response and discards the rest of the
// body. A send that still reads gets an error: what is left for it after bytes
// were discarded would look like a whole body. If the connection
// were closed while the sender is still sending, a TCP reset could discard the
// response before the sender has read it. net/http prevents this only for requests
// without Expect: 100-continue.
func (b *trackedBody) drain(w http.ResponseWriter) {
	b.drained.Store(true) // before the response is flushed, as net/http then discards a part of the body itself
	if !b.readBegun.Load() || b.reachedEOF.Load() {
		return
	}
	control := http.NewResponseController(w)
	// The deadline comes first: net/http flushes nothing while a read of the body waits for a caller that has stalled.
	if control.SetReadDeadline(time.Now().Add(drainTimeout)) != nil || control.Flush() != nil {
		return
	}
	b.reading.Lock() // a read that waits ends at the deadline
	defer b.reading.Unlock()
	_, _ = io.Copy(io.Discard, b.ReadCloser)
}
