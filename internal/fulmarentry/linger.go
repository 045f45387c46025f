package fulmarentry

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// lingerTime bounds how long an answer waits for a sender that is still sending its body.
const lingerTime = 500 * time.Millisecond

// inbound is a request body that notes whether it was read, and whether to its end.
type inbound struct {
	io.ReadCloser
	begun atomic.Bool
	ended atomic.Bool
}

// Read reads from the sender.
func (b *inbound) Read(p []byte) (int, error) {
	b.begun.Store(true)
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// linger sends the answer and discards what is left of the body. If the connection were closed while
// the sender is sending, a reset could destroy the answer before the sender has read it; net/http
// prevents that only for requests without Expect: 100-continue.
func (b *inbound) linger(w http.ResponseWriter) {
	if !b.begun.Load() || b.ended.Load() {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, b.ReadCloser)
}
