package fulmarforwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// sending is one send of a request to a target at which choose has counted it.
type sending struct {
	target  fulmarcatalog.Target
	started time.Time // by Deps.Now
	sentAt  time.Time // by Deps.Clock
	request *fulmarlink.Request
	body    io.Closer
	cancel  context.CancelFunc // ends the send; nil for one that is not hedged

	answer *fulmarlink.Answer
	err    error
}

// send sends the request to a target at which choose has counted it, and to a second one if its answer is late and it may be
// hedged. It closes the body.
func (x *exchange) send(ctx context.Context, t fulmarcatalog.Target, body io.ReadCloser) (*fulmarhttpserver.Answer, result) {
	s, ok := x.newSending(t, body)
	if !ok {
		return nil, unsent
	}
	if x.mayBeHedged() {
		return x.sendHedged(ctx, s)
	}
	x.exchangeWith(ctx, s)
	return x.finishSending(ctx, s)
}

// newSending prepares a send. If ok is false, no time is left for it, and it has ended.
func (x *exchange) newSending(t fulmarcatalog.Target, body io.ReadCloser) (s *sending, ok bool) {
	d := &x.forwarder.deps
	x.target = t.ID
	if x.tried == nil {
		x.tried = make(map[string]bool, 2)
	}
	x.tried[t.ID] = true
	s = &sending{target: t, started: d.Now(), sentAt: d.Clock(), body: body}
	left := time.Until(x.deadline).Milliseconds()
	if left <= 0 {
		x.release(s)
		return s, false
	}
	header := fulmarlink.EndToEnd(x.request.Header)
	// Answers are matched by the id, which a Connection header may have removed.
	header[http.CanonicalHeaderKey(d.HeaderNames.RequestID)] = []string{x.id}
	header[http.CanonicalHeaderKey(d.HeaderNames.Deadline)] = []string{strconv.FormatInt(left, 10)}
	header[http.CanonicalHeaderKey(d.HeaderNames.ExpectedTarget)] = []string{t.ID}
	s.request = &fulmarlink.Request{
		Method: x.request.Method, URI: x.request.RequestURI, Host: x.request.Host, Header: header,
		ID: x.id, Body: body, Length: x.request.Payload.Length(), MaxIdle: x.maxIdleConnections(), Crowded: x.isHotKey(),
	}
	return s, true
}

// exchangeWith exchanges the request with the target of s. It changes only s, so that several may run at once.
func (x *exchange) exchangeWith(ctx context.Context, s *sending) {
	s.answer, s.err = x.forwarder.deps.Pool.Do(ctx, s.target.Address, s.request)
}

// release ends the count of a send that has got no answer of its target.
func (x *exchange) release(s *sending) {
	d := &x.forwarder.deps
	s.body.Close()
	d.Balancer.Release(s.target.ID)
	d.Notices.RecordFailure(s.target.Incarnation())
}

// finishSending takes the outcome of a send into account.
func (x *exchange) finishSending(ctx context.Context, s *sending) (*fulmarhttpserver.Answer, result) {
	d := &x.forwarder.deps
	x.target, x.lastError = s.target.ID, s.err
	if s.err != nil {
		defer x.release(s)
		return nil, x.sendFailure(ctx, s)
	}
	x.sends++
	a, t := s.answer, s.target
	streaming := false
	defer func() {
		s.body.Close()
		if !streaming {
			d.Balancer.Release(t.ID)
		}
	}()
	now := d.Now()
	said := x.newStatement(t.ID, a)
	said.load = x.recordLoad(now, t.ID, a.Header)
	x.recordStatement(said)
	if a.Status == http.StatusMisdirectedRequest { // such an answer may be another target's
		d.Notices.RecordFailure(t.Incarnation())
	} else {
		x.recordLimit(t.ID, a.Header, s.sentAt)
		x.recordNotices(t, a)
	}
	if res := said.result(); res != delivered {
		if a.Remainder != nil {
			a.Remainder.Close()
		}
		d.Balancer.RecordFailure(now, t.ID)
		if res == notRun && a.Status != http.StatusMisdirectedRequest {
			d.Hedger.RecordShortage(now, x.service.Name)
		}
		x.lastError = errors.New(said.shortfall())
		return nil, res
	}
	x.forwarder.recordSurvival(t.Incarnation(), s.sentAt)
	if a.Status < http.StatusInternalServerError {
		d.Balancer.RecordServed(t.ID, now.Sub(s.started))
		x.clearSuspicion()
	} else {
		d.Balancer.RecordFailure(now, t.ID)
	}
	// A streamed answer occupies its target until it has been read; see exchange.stream.
	streaming = a.Remainder != nil
	x.bytes = int64(len(a.Body))
	return &fulmarhttpserver.Answer{
		Status: a.Status, Header: fulmarlink.EndToEnd(a.Header), Body: a.Body, Remainder: a.Remainder, Length: a.Length,
	}, delivered
}

// sendFailure returns the result of a send without an answer.
func (x *exchange) sendFailure(ctx context.Context, s *sending) result {
	d := &x.forwarder.deps
	switch {
	case errors.Is(s.err, fulmarlink.ErrNoRoom):
		d.Balancer.RecordFailure(d.Now(), s.target.ID)
		return noRoom
	case errors.Is(s.err, fulmarlink.ErrUnsent):
		d.Balancer.RecordFailure(d.Now(), s.target.ID)
		return unsent
	}
	x.sends++
	if ctx.Err() == nil {
		d.Balancer.RecordFailure(d.Now(), s.target.ID)
	} else {
		d.Balancer.RecordAbandoned(s.target.ID, d.Now().Sub(s.started))
	}
	x.recordStatement(statement{target: s.target.ID})
	x.recordUnanswered(ctx, s.target)
	return broken
}
