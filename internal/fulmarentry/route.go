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

// refusalBytes bounds what is read of a refusal's text, so that its connection can be used again.
const refusalBytes = 4 << 10

// result is what one attempt achieved.
type result struct {
	outcome fulmaroutcome.Outcome
	reason  fulmaroutcome.Reason
	holder  string // named by a not-holder answer
	asked   bool   // a dispatcher answered
	aborted bool   // the answer broke off after a part was passed on
	routing bool   // the dispatcher was not reached, so that a retry costs no target anything
}

// place is where a request goes.
type place struct {
	target string
	slot   int
	epoch  uint64
}

// route makes attempts until one is final, and panics with http.ErrAbortHandler if an answer breaks off.
func (e *Entry) route(w http.ResponseWriter, r *http.Request, q *query) {
	e.deps.RetryBudget.Earn(q.began, q.group)
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(e.deps.Now()))
	defer cancel()
	for {
		res := e.attempt(ctx, w, r, q)
		switch {
		case res.aborted:
			panic(http.ErrAbortHandler)
		case res.outcome == fulmaroutcome.Served:
			e.deps.Metrics.Served(q.service, q.group, e.deps.Now().Sub(q.began))
			return
		}
		q.record(res)
		wait, ok := e.shouldRetry(q, &res)
		if !ok || !fulmarclock.Sleep(ctx, wait) {
			e.finish(w, q, res)
			return
		}
		q.retries++
	}
}

// record notes what the attempt says of the request.
func (q *query) record(res result) {
	if res.outcome == fulmaroutcome.Unknown {
		q.maybe = res.reason
	}
	switch res.reason {
	case fulmaroutcome.Moving, fulmaroutcome.NotHolder, fulmaroutcome.NoOwner, fulmaroutcome.NoDispatcher:
		// Refused before the request memory was consulted.
	default:
		q.asked = q.asked || res.asked
	}
}

// shouldRetry reports whether to retry and after what wait; it may replace the reason of res.
func (e *Entry) shouldRetry(q *query, res *result) (time.Duration, bool) {
	label, paid, ok := retryable(q, *res)
	if !ok || !q.body.Replayable() {
		return 0, false
	}
	now := e.deps.Now()
	wait := e.deps.RetryBudget.Backoff(q.retries)
	if res.holder != "" && res.holder != q.holder {
		q.holder, wait = res.holder, 0 // a newly learned holder is asked at once
	}
	if wait >= q.remaining(now) {
		return 0, false
	}
	if paid && !e.deps.RetryBudget.Take(now, q.group) {
		if res.outcome == fulmaroutcome.NotRun {
			res.reason = fulmaroutcome.Budget
		}
		return 0, false
	}
	e.deps.Metrics.Retried(label)
	return wait, true
}

// retryable returns the retry reason of a result and whether a retry spends the budget.
func retryable(q *query, res result) (label fulmaroutcome.Reason, paid, ok bool) {
	switch res.reason {
	case fulmaroutcome.Moving, fulmaroutcome.NoOwner:
		return fulmaroutcome.Moving, false, true
	case fulmaroutcome.NotHolder, fulmaroutcome.NoDispatcher, fulmaroutcome.Stale:
		return fulmaroutcome.NotHolder, false, true
	case fulmaroutcome.Dial, fulmaroutcome.Shed, fulmaroutcome.Fenced:
		return res.reason, !res.routing, true
	case fulmaroutcome.DispatcherLost:
		return res.reason, true, true // the request memory protects at-most-once requests
	case fulmaroutcome.TargetLost, fulmaroutcome.BodyBroken:
		return fulmaroutcome.TargetLost, true, q.idempotent
	default:
		return "", false, false
	}
}

// finish answers with what is truthfully known of the request.
func (e *Entry) finish(w http.ResponseWriter, q *query, res result) {
	o, reason := res.outcome, res.reason
	if o == fulmaroutcome.NotRun {
		switch {
		case !e.deps.Now().Before(q.deadline):
			o, reason = fulmaroutcome.Unknown, fulmaroutcome.Late
		case q.maybe != "":
			o, reason = fulmaroutcome.Unknown, q.maybe
		case !q.idempotent && !q.first && !q.asked:
			// An earlier attempt with this id may have run, and no dispatcher could tell.
			o, reason = fulmaroutcome.Unknown, fulmaroutcome.DispatcherLost
		}
	}
	detail := ""
	if reason != res.reason {
		detail = string(res.reason)
	}
	e.refuse(w, q, o, reason, detail)
}

// attempt sends the request to the dispatcher of its target once.
func (e *Entry) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, q *query) result {
	table := e.deps.Router.Table()
	slot, ok := table.Slot(q.service, q.key)
	if !ok {
		return result{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoOwner}
	}
	owner := table.Assignment(q.service, slot).Owner
	if owner == "" {
		return result{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoOwner}
	}
	p := place{target: owner, slot: slot, epoch: table.Epoch()}
	if d, ok := e.deps.Router.Dispatcher(owner); ok {
		return e.local(ctx, w, r, q, p, d)
	}
	member, ok := e.deps.Router.Holder(owner)
	if !ok || member.ID == e.deps.Self {
		return result{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoDispatcher}
	}
	res := e.hop(ctx, w, r, q, p, member)
	if res.holder != "" {
		e.deps.Router.Learn(owner, res.holder)
	}
	return res
}

// headers returns the headers with which a dispatcher is asked.
func (e *Entry) headers(r *http.Request, q *query, p place) http.Header {
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
	h.Set(fulmaroutcome.HeaderDeadline, strconv.FormatInt(q.remaining(e.deps.Now()).Milliseconds(), 10))
	h.Set(fulmaroutcome.HeaderSender, e.deps.Self)
	return h
}

// local asks the dispatcher of this instance.
func (e *Entry) local(ctx context.Context, w http.ResponseWriter, r *http.Request, q *query, p place, d http.Handler) result {
	in := r.WithContext(ctx)
	in.Header = e.headers(r, q, p)
	in.Body, in.ContentLength = http.NoBody, q.body.Length()
	if b := q.body.Reader(); b != nil {
		in.Body = io.NopCloser(b)
	}
	out := &relay{to: w, header: make(http.Header)}
	d.ServeHTTP(out, in)
	return out.result()
}

// hop asks the dispatcher of a peer.
func (e *Entry) hop(ctx context.Context, w http.ResponseWriter, r *http.Request, q *query, p place, m fulmarslot.Member) result {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+m.DataAddress+r.URL.RequestURI(), nil)
	if err != nil {
		return result{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoDispatcher}
	}
	out.Header = e.headers(r, q, p)
	out.Header.Del("Content-Length")
	if b := q.body.Reader(); b != nil {
		out.Body, out.ContentLength = io.NopCloser(b), q.body.Length()
	}
	if !q.body.Complete() {
		// A refusal before the body leaves the body fresh for another attempt.
		out.Header.Set("Expect", "100-continue")
	}
	sign(out, e.deps.SharedKey, e.deps.Now())
	resp, err := e.roundTrip(out, m.ID)
	switch {
	case errors.Is(err, fulmartransport.ErrUnsent) && ctx.Err() != nil:
		return result{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.Deadline}
	case errors.Is(err, fulmartransport.ErrUnsent):
		return result{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.Dial, routing: true}
	case err != nil && ctx.Err() != nil:
		return result{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.Late}
	case err != nil:
		return result{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	}
	defer resp.Body.Close()
	return relayAnswer(ctx, w, resp)
}

// errDown is the cause of giving up a hop to a peer that was found down.
var errDown = errors.New("fulmarentry: peer is down")

// roundTrip sends a request to a peer and waits for the head of the answer
// until the peer is found down. An answer that has begun is not given up,
// because a peer may miss heartbeats while it still sends.
func (e *Entry) roundTrip(r *http.Request, member string) (*http.Response, error) {
	down := e.deps.Router.Down(member)
	if down == nil {
		return e.transport.RoundTrip(r)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	headed := make(chan struct{})
	go func() {
		select {
		case <-down:
			cancel(errDown)
		case <-headed:
		}
	}()
	resp, err := e.transport.RoundTrip(r.WithContext(ctx))
	close(headed)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// answerBody releases the context of its request when it is closed.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body.
func (b *answerBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// relayAnswer passes on a served answer, or returns what the peer's dispatcher says.
func relayAnswer(ctx context.Context, w http.ResponseWriter, resp *http.Response) result {
	res := result{
		outcome: fulmaroutcome.Outcome(resp.Header.Get(fulmaroutcome.HeaderOutcome)),
		reason:  fulmaroutcome.Reason(resp.Header.Get(fulmaroutcome.HeaderReason)),
		holder:  resp.Header.Get(fulmaroutcome.HeaderHolder),
		asked:   true,
	}
	switch {
	case res.outcome == fulmaroutcome.Served:
	case resp.StatusCode == http.StatusUnauthorized && res.outcome == "":
		return result{outcome: fulmaroutcome.NotRun, reason: fulmaroutcome.NoDispatcher}
	case res.outcome == fulmaroutcome.NotRun || res.outcome == fulmaroutcome.Unknown:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, refusalBytes))
		return res
	default:
		return result{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	}
	err := fulmarreply.Copy(w, resp)
	switch {
	case errors.Is(err, fulmarreply.ErrIncomplete) && ctx.Err() != nil:
		return result{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.Late}
	case errors.Is(err, fulmarreply.ErrIncomplete):
		return result{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	case err != nil:
		res.aborted = true
	}
	return res
}
