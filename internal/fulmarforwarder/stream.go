package fulmarforwarder

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
)

// streamedBody counts the bytes of an answer that is forwarded while it is read, and keeps the error that ended it.
type streamedBody struct {
	io.ReadCloser
	read int64
	err  error
}

func (s *streamedBody) Read(b []byte) (int, error) {
	n, err := s.ReadCloser.Read(b)
	s.read += int64(n)
	if err != nil {
		s.err = err
	}
	return n, err
}

// stream lets the exchange last until its answer has been forwarded or cut off, at most until the request's deadline.
// The target counts as busy until then. ctx is the caller's connection.
func (x *exchange) stream(ctx context.Context, a *fulmarhttpserver.Answer) {
	body := &streamedBody{ReadCloser: a.Remainder}
	a.Remainder, a.Deadline = body, x.deadline
	a.Finished = func(err error) {
		d := &x.forwarder.deps
		d.Balancer.Release(x.target)
		x.bytes += body.read
		if err != nil {
			x.lastError = err
			x.reason = x.cutReason(ctx, body.err)
			if x.reason == Cut {
				d.Balancer.RecordFailure(d.Now(), x.target)
			}
		}
		x.end(a)
	}
}

// cutReason returns why a streamed answer was cut off. readErr is the error of reading it from the target, nil if
// writing to the caller failed.
func (x *exchange) cutReason(ctx context.Context, readErr error) Reason {
	switch {
	case ctx.Err() != nil:
		return cancelReason(ctx)
	case !x.forwarder.deps.Now().Before(x.deadline):
		return TimedOut
	case readErr != nil && !errors.Is(readErr, io.EOF):
		return Cut
	}
	return CallerLeft
}
