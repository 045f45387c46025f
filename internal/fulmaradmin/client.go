package fulmaradmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of the client; test for them with errors.Is.
var (
	ErrUnreachable = errors.New("fulmaradmin: no daemon could be reached")
	ErrAmbiguous   = errors.New("fulmaradmin: no response, the request may have taken effect")
)

// Client is a client of the operators' API.
type Client struct {
	addresses []string
	key       []byte
	http      *http.Client
}

// NewClient returns a client of the daemons at the addresses (IP:port), which are tried in order.
func NewClient(addresses []string, key []byte, client *http.Client) *Client {
	return &Client{addresses: addresses, key: key, http: client}
}

// Status returns the status of the first daemon that answers.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (v Config, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/config", nil, &v)
	return v, err
}

// CheckConfig returns the difference of text from the configuration in force, or an *Error with the errors of text.
func (c *Client) CheckConfig(ctx context.Context, text string) (v CheckResult, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/config/check", CheckRequest{text}, &v)
	return v, err
}

// PutConfig replaces the configuration. If a daemon does not answer, the request is repeated at the next one; the
// operation id makes the repetition idempotent.
func (c *Client) PutConfig(ctx context.Context, p PutRequest) (v PutResult, err error) {
	err = c.call(ctx, http.MethodPut, "/v1/config", p, &v)
	return v, err
}

// Table returns a summary of the slot table.
func (c *Client) Table(ctx context.Context) (v Table, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/table", nil, &v)
	return v, err
}

// Targets returns the targets.
func (c *Client) Targets(ctx context.Context) (v []Target, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/targets", nil, &v)
	return v, err
}

// Explain returns how a request is routed and which limits apply to it; group may be empty.
func (c *Client) Explain(ctx context.Context, service, key, group string) (v Explanation, err error) {
	q := url.Values{"service": {service}, "key": {key}}
	if group != "" {
		q.Set("group", group)
	}
	err = c.call(ctx, http.MethodGet, "/v1/explain?"+q.Encode(), nil, &v)
	return v, err
}

// Quarantine returns the fingerprints under quarantine.
func (c *Client) Quarantine(ctx context.Context) (v []QuarantineEntry, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/quarantine", nil, &v)
	return v, err
}

// LiftQuarantine ends the quarantine of a fingerprint.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) error {
	return c.call(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(fingerprint), nil, nil)
}

// ConfirmLost confirms that a member is permanently lost.
func (c *Client) ConfirmLost(ctx context.Context, member string) error {
	return c.call(ctx, http.MethodPost, "/v1/roster/confirm", ConfirmRequest{member}, nil)
}

// call sends the request to the daemons in order until one answers with a status other than 503. Repeating it is safe,
// as all requests are idempotent.
func (c *Client) call(ctx context.Context, method, path string, body, dst any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "fulmaradmin")
		}
	}
	result, lastErr := ErrUnreachable, error(nil)
	for _, address := range c.addresses {
		sent, err := c.attempt(ctx, address, method, path, payload, dst)
		var apiErr *Error
		if err == nil || errors.As(err, &apiErr) && apiErr.Status != http.StatusServiceUnavailable {
			return err
		}
		if sent && apiErr == nil && method != http.MethodGet {
			result = ErrAmbiguous
		}
		lastErr = err
	}
	var apiErr *Error
	if errors.As(lastErr, &apiErr) && !errors.Is(result, ErrAmbiguous) {
		return apiErr
	}
	if lastErr == nil {
		return result
	}
	return errors.WithMessage(result, lastErr.Error())
}

// attempt makes one request; sent reports whether the daemon may have received it.
func (c *Client) attempt(ctx context.Context, address, method, path string, payload []byte, dst any) (sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(payload))
	if err != nil {
		return false, errors.Wrap(err, "fulmaradmin")
	}
	Sign(req, c.key, payload, time.Now())
	resp, err := c.http.Do(req)
	if err != nil {
		return connected.Load(), errors.Wrap(err, "fulmaradmin")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxBodySize))
	if err != nil {
		return true, errors.Wrap(err, "fulmaradmin")
	}
	if resp.StatusCode != http.StatusOK {
		e := &Error{}
		if json.Unmarshal(text, e) != nil || e.Status == 0 {
			e = &Error{Status: resp.StatusCode, Message: strings.TrimSpace(string(text[:min(len(text), 200)]))}
		}
		return true, e
	}
	if dst == nil {
		return true, nil
	}
	return true, errors.Wrap(json.Unmarshal(text, dst), "fulmaradmin")
}
