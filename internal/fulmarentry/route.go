package fulmarentry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// maxRefusalBytes bounds how much of the body of a refusal is read to make its
// connection reusable.
const maxRefusalBytes = 4 << 10

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome             fulmaroutcome.Outcome
	reason              fulmaroutcome.Reason
	holder              string // named in a not-holder response
	dispatcherAnswered  bool   // a dispatcher responded
	truncated           bool   // the response was truncated after a part was forwarded
	dispatcherUnreached bool   // no dispatcher was reached, so a retry adds no load to a target
}

// destination is the slot and the target that a request is routed to.
type destination struct {
	target string
	slot   int
	epoch  uint64
}

// route makes attempts until one is final. It panics with http.ErrAbortHandler if the
// response is truncated.
func (e *Entry) route(w http.ResponseWriter, r *http.Request, q *callerRequest) {
	e.deps.RetryBudget.Earn(q.receivedAt, q.group)
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(e.deps.Now()))
	defer cancel()
	var res attemptResult
	for {
		body, err := q.body.Open()
		if err != nil {
			e.refuseFinal(w, q, res) // the last send has taken a part of the body
			return
		}
		res = e.attempt(ctx, w, r, q, body)
		switch {
		case res.truncated:
			panic(http.ErrAbortHandler)
		case res.outcome == fulmaroutcome.Served:
			e.deps.Metrics.Served(q.service, q.group, e.deps.Now().Sub(q.receivedAt))
			return
		}
		q.recordResult(res)
		wait, ok := e.shouldRetry(q, &res)
		if !ok || !fulmarclock.Sleep(ctx, wait) {
			e.refuseFinal(w, q, res)
			return
		}
		q.retries++
	}
}

// recordResult updates what is known of the request by the result of an attempt.
func (q *callerRequest) recordResult(res attemptResult) {
	if res.outcome == fulmaroutcome.Unknown {
		q.unknownReason = res.reason
	}
	switch res.reason {
	case fulmaroutcome.Moving, fulmaroutcome.NotHolder, fulmaroutcome.NoOwner, fulmaroutcome.NoDispatcher:
		// Refused before the id was looked up.
	default:
		q.idLookedUp = q.idLookedUp || res.dispatcherAnswered
	}
}

// shouldRetry reports whether to retry and how long to wait before. If the retry
// budget is exhausted, it replaces the reason of a not-run res.
func (e *Entry) shouldRetry(q *callerRequest, res *attemptResult) (time.Duration, bool) {
	retryReason, spendsBudget, ok := retryable(q, *res)
	if !ok || !q.body.Replayable() {
		return 0, false
	}
	now := e.deps.Now()
	wait := e.deps.RetryBudget.Backoff(q.retries)
	if res.holder != "" && res.holder != q.learnedHolder {
		q.learnedHolder, wait = res.holder, 0 // a newly learned holder is tried without a wait
	}
	if wait >= q.dispatcherTimeout(now) {
		return 0, false
	}
	if spendsBudget && !e.deps.RetryBudget.Take(now, q.group) {
		if res.outcome == fulmaroutcome.NotRun {
			res.reason = fulmaroutcome.Budget
		}
		return 0, false
	}
	e.deps.Metrics.Retried(retryReason)
	return wait, true
}

// retryable reports whether a result permits a retry, for which reason, and whether
// the retry spends the budget.
func retryable(q *callerRequest, res attemptResult) (retryReason fulmaroutcome.Reason, spendsBudget, ok bool) {
	switch res.reason {
	case fulmaroutcome.Moving, fulmaroutcome.NoOwner:
		return fulmaroutcome.Moving, false, true
	case fulmaroutcome.NotHolder, fulmaroutcome.NoDispatcher, fulmaroutcome.Stale:
		return fulmaroutcome.NotHolder, false, true
	case fulmaroutcome.Dial, fulmaroutcome.Shed, fulmaroutcome.Fenced:
		return res.reason, !res.dispatcherUnreached, true
	case fulmaroutcome.DispatcherLost:
		return res.reason, true, true // deduplication protects at-most-once requests
	case fulmaroutcome.TargetLost, fulmaroutcome.BodyBroken:
		return fulmaroutcome.TargetLost, true, q.idempotent
	default:
		return "", false, false
	}
}

// refuseFinal writes the outcome of a request that was not served. It changes not-run
// to unknown where the request may have run.
func (e *Entry) refuseFinal(w http.ResponseWriter, q *callerRequest, res attemptResult) {
	o, reason := res.outcome, res.reason
	if o == fulmaroutcome.NotRun {
		switch {
		case !e.deps.Now().Before(q.deadline):
			o, reason = fulmaroutcome.Unknown, fulmaroutcome.Late
		case q.unknownReason != "":
			o, reason = fulmaroutcome.Unknown, q.unknownReason
		case !q.idempotent && !q.firstAttempt && !q.idLookedUp:
			// The caller may have sent this id before, and no dispatcher has looked it up.
			o, reason = fulmaroutcome.Unknown, fulmaroutcome.DispatcherLost
		}
	}
	detail := ""
	if reason != res.reason {
		detail = string(res.reason)
	}
	e.refuse(w, q, o, reason, detail)
}

// attempt sends the request to the dispatcher of its target once. It closes the body, so that a send that has been answered
// reads nothing of it any more.
func (e *Entry) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, q *callerRequest, body io.ReadCloser) attemptResult {
	defer body.Close()
	table := e.deps.Router.Table()
	slot, ok := table.Slot(q.service, q.key)
	if !ok {
		return attemptResult{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoOwner}
	}
	owner := table.Assignment(q.service, slot).Owner
	if owner == "" {
		return attemptResult{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoOwner}
	}
	p := destination{target: owner, slot: slot, epoch: table.Epoch()}
	if d, ok := e.deps.Router.Dispatcher(owner); ok {
		return e.serveLocally(ctx, w, r, q, p, d, body)
	}
	member, ok := e.deps.Router.Holder(owner)
	if !ok || member.ID == e.deps.Self {
		return attemptResult{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoDispatcher}
	}
	res := e.sendToPeer(ctx, w, r, q, p, member, body)
	if res.holder != "" {
		e.deps.Router.Learn(owner, res.holder)
	}
	return res
}

// dispatchHeader returns the headers of the request to a dispatcher.
func (e *Entry) dispatchHeader(r *http.Request, q *callerRequest, p destination) http.Header {
	h := make(http.Header, len(r.Header)+8)
	fulmarreply.CopyHeader(h, r.Header)
	h.Del("Expect")
	for _, name := range []string{
		fulmaroutcome.HeaderKey, fulmaroutcome.HeaderGroup, fulmaroutcome.HeaderRequestID,
		fulmaroutcome.HeaderTimeout, fulmaroutcome.HeaderAttempt,
	} {
		if v := r.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set(fulmaroutcome.HeaderTarget, p.target)
	h.Set(fulmaroutcome.HeaderSlot, strconv.Itoa(p.slot))
	h.Set(fulmaroutcome.HeaderEpoch, strconv.FormatUint(p.epoch, 10))
	h.Set(fulmaroutcome.HeaderDeadline, strconv.FormatInt(q.dispatcherTimeout(e.deps.Now()).Milliseconds(), 10))
	h.Set(fulmaroutcome.HeaderSender, e.deps.Self)
	return h
}

// serveLocally sends the request to the dispatcher d of this instance.
func (e *Entry) serveLocally(ctx context.Context, w http.ResponseWriter, r *http.Request, q *callerRequest, p destination, d http.Handler, body io.ReadCloser) attemptResult {
	in := r.WithContext(ctx)
	in.Header = e.dispatchHeader(r, q, p)
	in.Body, in.ContentLength = body, q.body.Length()
	out := &servedWriter{dst: w, header: make(http.Header)}
	d.ServeHTTP(out, in)
	return out.result()
}

// sendToPeer sends the request to the dispatcher of the peer m.
func (e *Entry) sendToPeer(ctx context.Context, w http.ResponseWriter, r *http.Request, q *callerRequest, p destination, m fulmarslot.Member, body io.ReadCloser) attemptResult {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+m.DataAddress+r.URL.RequestURI(), nil)
	if err != nil {
		return attemptResult{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoDispatcher}
	}
	out.Header = e.dispatchHeader(r, q, p)
	out.Header.Del("Content-Length")
	out.Body, out.ContentLength = body, q.body.Length()
	if !q.body.Complete() {
		// If the peer refuses before the body is sent, the body can be sent in another
		// attempt.
		out.Header.Set("Expect", "100-continue")
	}
	sign(out, e.deps.SharedKey, e.deps.Now())
	resp, err := e.roundTrip(out, m.ID)
	switch {
	case errors.Is(err, fulmartransport.ErrUnsent) && ctx.Err() != nil:
		return attemptResult{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.Deadline}
	case errors.Is(err, fulmartransport.ErrUnsent):
		return attemptResult{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.Dial, dispatcherUnreached: true}
	case err != nil && ctx.Err() != nil:
		return attemptResult{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.Late}
	case err != nil:
		return attemptResult{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	}
	defer resp.Body.Close()
	return relayResponse(ctx, w, resp)
}

// errPeerDown is the cancellation cause of a request to a peer that was detected as down.
var errPeerDown = errors.New("fulmarentry: peer is down")

// roundTrip sends a request to a peer and waits for the response headers. It cancels
// the request when the peer is detected as down. A response that has begun is not
// canceled, because a peer may miss heartbeats while it still sends.
func (e *Entry) roundTrip(r *http.Request, member string) (*http.Response, error) {
	down := e.deps.Router.Down(member)
	if down == nil {
		return e.transport.RoundTrip(r)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	headerReceived := make(chan struct{})
	go func() {
		select {
		case <-down:
			cancel(errPeerDown)
		case <-headerReceived:
		}
	}()
	resp, err := e.transport.RoundTrip(r.WithContext(ctx))
	close(headerReceived)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// responseBody is a response body that cancels the context of its request when it is
// closed.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the context of its request.
func (b *responseBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// relayResponse forwards a served response, or returns the outcome that the peer's
// dispatcher reported.
func relayResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response) attemptResult {
	res := attemptResult{
		outcome:            fulmaroutcome.Outcome(resp.Header.Get(fulmaroutcome.HeaderOutcome)),
		reason:             fulmaroutcome.Reason(resp.Header.Get(fulmaroutcome.HeaderReason)),
		holder:             resp.Header.Get(fulmaroutcome.HeaderHolder),
		dispatcherAnswered: true,
	}
	switch {
	case res.outcome == fulmaroutcome.Served:
	case resp.StatusCode == http.StatusUnauthorized && res.outcome == "":
		return attemptResult{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoDispatcher}
	case res.outcome == fulmaroutcome.NotRun || res.outcome == fulmaroutcome.Unknown:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
		return res
	default:
		return attemptResult{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	}
	err := fulmarreply.Copy(w, resp)
	switch {
	case errors.Is(err, fulmarreply.ErrIncomplete) && ctx.Err() != nil:
		return attemptResult{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.Late}
	case errors.Is(err, fulmarreply.ErrIncomplete):
		return attemptResult{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	case err != nil:
		res.truncated = true
	}
	return res
}
