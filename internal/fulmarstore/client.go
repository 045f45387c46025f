package fulmarstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhead"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstatus"
)

// Errors of the client; test for them with errors.Is.
var (
	ErrNotFound    = errors.New("fulmarstore: key or session not found")
	ErrUnavailable = errors.New("fulmarstore: service unavailable")
	ErrConflict    = errors.New("fulmarstore: value was changed by another writer")
	ErrAmbiguous   = errors.New("fulmarstore: no response, the write may have taken effect")
	ErrTooLarge    = errors.New("fulmarstore: value is too large")
)

// StatusError is a response with a status that reports an invalid or forbidden request.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("fulmarstore: status %d: %s", e.Status, e.Text)
}

const (
	// MaxValueSize is the size of the largest value that the service stores, in bytes.
	MaxValueSize = 1_000_000
	// maxBodySize limits a response body, in bytes: it has room for a value in base64 with its metadata, or for a
	// catalog of thousands of nodes.
	maxBodySize  = 4 << 20
	maxErrorText = 256 // bytes of a response body that a StatusError keeps
)

// Value is the value of a key with its modification index, which is zero only if the key does not exist.
type Value struct {
	Data  []byte
	Index uint64
}

// Client is a client of the key-value service; it is safe for concurrent use.
type Client struct {
	address   string
	timeout   time.Duration
	http      *http.Client
	callSlots sync.Map // by operation and key: chan struct{} of capacity 1
}

// New returns a client of the service at the URL address. Each call takes at most timeout; a watch may take its wait
// in addition.
func New(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{address: strings.TrimSuffix(address, "/"), timeout: timeout, http: client}
}

// acquireCallSlot waits until no other call of the kind is in flight, and then reserves it until release is called.
func (c *Client) acquireCallSlot(ctx context.Context, kind string) (release func(), err error) {
	gate, ok := c.callSlots.Load(kind)
	if !ok {
		gate, _ = c.callSlots.LoadOrStore(kind, make(chan struct{}, 1))
	}
	callSlot := gate.(chan struct{})
	select {
	case callSlot <- struct{}{}:
		return func() { <-callSlot }, nil
	case <-ctx.Done():
		return nil, newCallError(ErrUnavailable, errors.Wrap(ctx.Err(), "another call is in flight"))
	}
}

// newCallError returns an error that wraps one of the sentinel errors and its cause.
func newCallError(sentinel, cause error) error { return &callError{sentinel, cause} }

type callError struct{ sentinel, cause error }

func (e *callError) Error() string   { return e.sentinel.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.sentinel, e.cause} }

// request is one call of the HTTP API.
type request struct {
	kind         string // operation and key
	method       string
	path         string
	query        url.Values
	body         []byte
	mutates      bool          // whether the request may have an effect
	extraTimeout time.Duration // added to the client's timeout
}

// response is a response of status 200 or 404.
type response struct {
	found bool
	body  []byte
	index uint64
}

// do makes a request within the timeout, after other calls of its kind have ended.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.extraTimeout)
	defer cancel()
	release, err := c.acquireCallSlot(ctx, r.kind)
	if err != nil {
		return response{}, err
	}
	defer release()
	// Once a connection was obtained, the request may have been sent, even if the transport reports that nothing was written.
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	address := c.address + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(traced, r.method, address, bytes.NewReader(r.body))
	if err != nil {
		return response{}, errors.Wrap(err, "fulmarstore")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, newCallError(unansweredError(r.mutates && sent.Load()), err)
	}
	defer resp.Body.Close()
	if err := fulmarhead.Fields(resp.Header).Check(); err != nil {
		return response{}, newCallError(unansweredError(r.mutates), err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize+1))
	if err == nil && len(body) > maxBodySize {
		err = ErrTooLarge
	}
	if err != nil {
		return response{}, newCallError(unansweredError(r.mutates), err)
	}
	return classifyResponse(resp, body, r.mutates)
}

// unansweredError returns the error of a request that got no valid response.
func unansweredError(ambiguous bool) error {
	if ambiguous {
		return ErrAmbiguous
	}
	return ErrUnavailable
}

// classifyResponse returns the response, or the error for its status; mutates reports whether the request has an effect.
func classifyResponse(resp *http.Response, body []byte, mutates bool) (response, error) {
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	status := &StatusError{resp.StatusCode, strings.TrimSpace(string(body[:min(len(body), maxErrorText)]))}
	switch {
	case resp.StatusCode == http.StatusOK:
		return response{true, body, index}, nil
	case resp.StatusCode == http.StatusNotFound:
		return response{false, nil, index}, nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return response{}, newCallError(ErrUnavailable, status)
	case resp.StatusCode >= 500, !fulmarstatus.Code(resp.StatusCode).IsFinal():
		// A server that has lost its leader may have forwarded the write to it before.
		return response{}, newCallError(unansweredError(mutates), status)
	}
	return response{}, status
}

// Get returns the value of key by a consistent read.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	a, err := c.do(ctx, request{kind: "get " + key, method: http.MethodGet, path: keyPath(key), query: url.Values{"consistent": {""}}})
	return parseValue(a, err)
}

// Watch blocks until the index of the key's value differs from index, or wait has passed, and returns the value.
// If it returns ErrNotFound, Value.Index is the index to pass to the next Watch, not the index of an existing value.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error) {
	// The service adds a random delay of up to a sixteenth of the wait, so that watches do not end at the same time.
	a, err := c.do(ctx, request{
		kind: "watch " + key, method: http.MethodGet, path: keyPath(key), extraTimeout: wait + wait/16,
		query: url.Values{"consistent": {""}, "index": {strconv.FormatUint(index, 10)}, "wait": {wait.String()}},
	})
	return parseValue(a, err)
}

// keyPath returns the URL path of a key.
func keyPath(key string) string { return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath() }

// parseValue returns the value in the response to a read of one key.
func parseValue(a response, err error) (Value, error) {
	if err != nil {
		return Value{}, err
	}
	if !a.found {
		return Value{Index: a.index}, ErrNotFound
	}
	var pairs []struct {
		Value       []byte
		ModifyIndex uint64
	}
	if err := json.Unmarshal(a.body, &pairs); err != nil {
		return Value{}, newCallError(ErrUnavailable, err)
	}
	if len(pairs) != 1 || pairs[0].ModifyIndex == 0 {
		return Value{}, newCallError(ErrUnavailable, errors.New("response does not have exactly one value"))
	}
	return Value{pairs[0].Value, pairs[0].ModifyIndex}, nil
}

// Put replaces the value of key if its index equals index; index zero creates the key if it does not exist.
func (c *Client) Put(ctx context.Context, key string, data []byte, index uint64) error {
	if len(data) > MaxValueSize {
		return ErrTooLarge
	}
	replaced, err := c.doBool(ctx, request{
		kind: "put " + key, method: http.MethodPut, path: keyPath(key), body: data, mutates: true,
		query: url.Values{"cas": {strconv.FormatUint(index, 10)}},
	})
	if err == nil && !replaced {
		return ErrConflict
	}
	return err
}

// Acquire writes data to key and locks it for session; it reports false if another session holds the lock.
// It may be repeated after ErrAmbiguous: acquiring a lock that the session already holds succeeds.
func (c *Client) Acquire(ctx context.Context, key, session string, data []byte) (bool, error) {
	if len(data) > MaxValueSize {
		return false, ErrTooLarge
	}
	return c.doBool(ctx, request{
		kind: "acquire " + key, method: http.MethodPut, path: keyPath(key), body: data, mutates: true,
		query: url.Values{"acquire": {session}},
	})
}

// doBool makes a request whose response body is true or false.
func (c *Client) doBool(ctx context.Context, r request) (bool, error) {
	a, err := c.do(ctx, r)
	if err != nil {
		return false, err
	}
	switch strings.TrimSpace(string(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, newCallError(ErrAmbiguous, errors.Errorf("response is neither true nor false: %.64q", a.body))
}

// NewSession creates a session that expires unless it is renewed within ttl.
// It has no lock delay: writes are ordered by compare-and-swap, so a new lock holder need not wait.
func (c *Client) NewSession(ctx context.Context, ttl time.Duration) (string, error) {
	body, err := json.Marshal(map[string]any{
		"Name": "fulmarbend", "TTL": ttl.String(), "LockDelay": "0s",
		"NodeChecks": []string{}, // the health of the store's node does not reflect the health of the session's holder
	})
	if err != nil {
		return "", errors.Wrap(err, "fulmarstore")
	}
	a, err := c.do(ctx, request{kind: "session", method: http.MethodPut, path: "/v1/session/create", body: body, mutates: true})
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(a.body, &created); err != nil || created.ID == "" {
		return "", newCallError(ErrAmbiguous, errors.Errorf("response has no session: %.64q", a.body))
	}
	return created.ID, nil
}

// Renew extends a session by its TTL; it returns ErrNotFound if the session has expired.
func (c *Client) Renew(ctx context.Context, session string) error {
	a, err := c.do(ctx, request{kind: "renew", method: http.MethodPut, path: "/v1/session/renew/" + url.PathEscape(session), mutates: true})
	if err == nil && !a.found {
		return ErrNotFound
	}
	return err
}

// Destroy ends a session and releases its locks.
func (c *Client) Destroy(ctx context.Context, session string) error {
	_, err := c.do(ctx, request{kind: "destroy", method: http.MethodPut, path: "/v1/session/destroy/" + url.PathEscape(session), mutates: true})
	return err
}

// Node is an entry of the service catalog.
type Node struct {
	ID         string
	Address    string // host:port
	DataCentre string
	Meta       map[string]string
}

// Nodes returns the catalog's entries for a service; the catalog is updated with a delay.
func (c *Client) Nodes(ctx context.Context, service string) ([]Node, error) {
	a, err := c.do(ctx, request{kind: "nodes " + service, method: http.MethodGet, path: "/v1/catalog/service/" + url.PathEscape(service)})
	if err != nil {
		return nil, err
	}
	if !a.found {
		return nil, nil
	}
	var entries []struct {
		Address        string
		Datacenter     string
		ServiceID      string
		ServiceAddress string
		ServicePort    int
		ServiceMeta    map[string]string
	}
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return nil, newCallError(ErrUnavailable, err)
	}
	nodes := make([]Node, 0, len(entries))
	for _, e := range entries {
		if e.ServiceAddress == "" {
			e.ServiceAddress = e.Address // an empty address means that the service listens on its node's address
		}
		nodes = append(nodes, Node{
			ID:         e.ServiceID,
			Address:    net.JoinHostPort(e.ServiceAddress, strconv.Itoa(e.ServicePort)),
			DataCentre: e.Datacenter,
			Meta:       e.ServiceMeta,
		})
	}
	return nodes, nil
}
