package fulmartarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

const (
	grantPath      = "/fulmarbend/grant"
	maxAnswerBytes = 1 << 20 // largest answer to a grant call
)

// ErrNotSent states that no byte of an order was sent.
var ErrNotSent = errors.New("fulmartarget: order not sent")

// ErrForeign states that the answer on the connection was not the one to this request, which may have run.
var ErrForeign = errors.New("fulmartarget: answer to another request")

// StatusError is an answer to a grant call with an unexpected status.
type StatusError struct{ Status int }

// Error returns the message with the status.
func (e *StatusError) Error() string {
	return "fulmartarget: unexpected status " + strconv.Itoa(e.Status)
}

// Order is a request for a target with the fencing term and the slot under
// which it is sent.
type Order struct {
	Method     string
	Path       string // path and query as the caller sent them
	Header     http.Header
	Body       io.ReadCloser // nil for none
	BodyLength int64         // -1 if not known
	Sender     string        // id of the dispatching instance
	Term       uint64
	Slot       int
	Deadline   time.Time
}

// Client sends grants and orders to targets; it is safe for concurrent use.
type Client struct {
	transport *fulmartransport.Transport
}

// New returns a client that keeps at most the given number of connections to each
// target. They are opened from the local address source, or from any address if
// it is nil.
func New(connections int, source net.IP) *Client {
	return &Client{transport: fulmartransport.New(connections, source)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// State reads the state of the target's grant.
func (c *Client) State(ctx context.Context, address string) (fulmargrant.State, error) {
	return c.exchangeGrant(ctx, http.MethodGet, address, nil)
}

// Grant asks the target to apply g. On a refusal it returns the target's state and a *fulmargrant.RefusedError.
func (c *Client) Grant(ctx context.Context, address string, g fulmargrant.Grant) (fulmargrant.State, error) {
	text, err := json.Marshal(g)
	if err != nil {
		return fulmargrant.State{}, errors.Wrap(err, "fulmartarget: encode grant")
	}
	return c.exchangeGrant(ctx, http.MethodPut, address, text)
}

// exchangeGrant exchanges a grant message and decodes the state in the answer.
func (c *Client) exchangeGrant(ctx context.Context, method, address string, text []byte) (fulmargrant.State, error) {
	var answer struct {
		fulmargrant.State
		Reason string `json:"reason"`
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+grantPath, bytes.NewReader(text))
	if err != nil {
		return answer.State, errors.Wrap(err, "fulmartarget: create grant request")
	}
	if text != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.transport.RoundTripWithID(r, fulmaroutcome.HeaderExchange)
	if err != nil {
		return answer.State, wrapTransportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return answer.State, &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer.State, errors.Wrap(err, "fulmartarget: read grant state")
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer.State, errors.Wrap(err, "fulmartarget: decode grant state")
	}
	if resp.StatusCode == http.StatusConflict {
		return answer.State, &fulmargrant.RefusedError{Reason: refusalReason(answer.Reason, resp.Header)}
	}
	return answer.State, nil
}

// refusalReason returns the reason that the target gave for refusing a grant.
func refusalReason(reason string, h http.Header) string {
	if reason == "" {
		reason = h.Get(fulmaroutcome.HeaderReason)
	}
	if reason == "" {
		reason = "refused"
	}
	return reason
}

// Do sends an order once, without retries. The caller must close the answer's body;
// cancelling ctx aborts the order.
func (c *Client) Do(ctx context.Context, address string, o Order) (*http.Response, error) {
	u, err := url.ParseRequestURI(o.Path)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	u.Scheme, u.Host = "http", address
	r, err := http.NewRequestWithContext(ctx, o.Method, u.String(), nil)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if o.Body != nil {
		r.Body, r.ContentLength = o.Body, o.BodyLength
	}
	fulmarreply.CopyHeader(r.Header, o.Header)
	r.Header.Del("Expect")
	r.Header.Del("Content-Length")
	for _, name := range []string{
		fulmaroutcome.HeaderKey, fulmaroutcome.HeaderGroup, fulmaroutcome.HeaderRequestID,
		fulmaroutcome.HeaderTimeout, fulmaroutcome.HeaderAttempt,
	} {
		if v := o.Header.Get(name); v != "" {
			r.Header.Set(name, v)
		}
	}
	if o.Sender != "" {
		r.Header.Set(fulmaroutcome.HeaderSender, o.Sender)
	}
	left := max(time.Until(o.Deadline).Milliseconds(), 0)
	r.Header.Set(fulmaroutcome.HeaderTerm, strconv.FormatUint(o.Term, 10))
	r.Header.Set(fulmaroutcome.HeaderSlot, strconv.Itoa(o.Slot))
	r.Header.Set(fulmaroutcome.HeaderDeadline, strconv.FormatInt(left, 10))
	r.Header.Set(fulmaroutcome.HeaderDeadlineAt, o.Deadline.UTC().Format(time.RFC3339Nano))
	resp, err := c.transport.RoundTripWithID(r, fulmaroutcome.HeaderExchange)
	if err != nil {
		return nil, wrapTransportError(err)
	}
	return resp, nil
}

// NotRun reports whether the target states that it did not run the order, with the reason.
func NotRun(resp *http.Response) (fulmaroutcome.Reason, bool) {
	if resp.Header.Get(fulmaroutcome.HeaderOutcome) != string(fulmaroutcome.NotRun) {
		return "", false
	}
	switch resp.StatusCode {
	case http.StatusPreconditionFailed:
		return fulmaroutcome.Fenced, true
	case http.StatusServiceUnavailable:
		return fulmaroutcome.Shed, true
	default:
		return "", false
	}
}

// wrapTransportError maps an error of the transport to ErrNotSent or to an error
// that leaves open whether the request ran.
func wrapTransportError(err error) error {
	if errors.Is(err, fulmartransport.ErrUnsent) {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if errors.Is(err, fulmartransport.ErrForeign) {
		return errors.Wrap(ErrForeign, err.Error())
	}
	return errors.Wrap(err, "fulmartarget: no answer to the request")
}
