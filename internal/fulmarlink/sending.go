package fulmarlink

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// errSendStopped means that the rest of a request was not sent, as its target had rejected it.
var errSendStopped = errors.New("fulmarlink: rest of the request is not sent")

// closedChannel is the channel done of a request that needs no goroutine to be sent.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// sending is a request that is being sent to a target, whose answer may be read meanwhile: a target may reject a request before it
// has read a long body.
type sending struct {
	conn *conn
	done chan struct{} // closed when err is set and nothing more is sent
	err  error
}

// startSending sends a request. Its head has been sent when it returns, so that bytes that came before are no answer, or sending has
// failed; so has a body that is in memory.
func startSending(c *conn, r *Request) *sending {
	sendBody, err := sendHead(c, r)
	if err != nil || sendBody == nil {
		return &sending{conn: c, done: closedChannel, err: err}
	}
	s := &sending{conn: c, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		if s.err = sendBody(); errors.Is(s.err, errBodyIncomplete) {
			_ = c.SetReadDeadline(past) // the target waits for the rest; fails only on a closed connection
		}
	}()
	return s
}

// receive reads the head of the next answer. It fails if the request cannot be sent.
func (s *sending) receive(method string) (*http.Response, error) {
	if s.failed() {
		return nil, s.err
	}
	resp, err := receive(s.conn, method)
	if err != nil && s.failed() {
		return nil, s.err
	}
	return resp, err
}

// failed reports whether sending has ended in such a way that no answer can come. After another failed write the target may have
// answered early.
func (s *sending) failed() bool {
	select {
	case <-s.done:
		return errors.Is(s.err, errBodyIncomplete) || s.err != nil && !s.conn.written
	default:
		return false
	}
}

// end ends sending, as an answer with the given status has begun, and reports whether the whole request was sent. A rejected
// request is not sent further, any other one to its end.
func (s *sending) end(status int) (complete bool, err error) {
	if status >= http.StatusBadRequest {
		s.stop()
		return s.err == nil && !s.conn.sendStopped.Load(), nil
	}
	<-s.done
	if s.failed() {
		return false, s.err
	}
	return s.err == nil, nil
}

// stop interrupts sending and waits for its end, for which a read of the caller's body has to return.
func (s *sending) stop() {
	select {
	case <-s.done:
		return
	default:
	}
	s.conn.sendStopped.Store(true)
	_ = s.conn.SetWriteDeadline(past) // fails only on a closed connection
	<-s.done
}
