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
)

// Errors of the client; compare with errors.Is.
var (
	ErrNotFound    = errors.New("fulmarstore: not found")
	ErrUnavailable = errors.New("fulmarstore: service unavailable")
	ErrConflict    = errors.New("fulmarstore: value was changed by another writer")
	ErrAmbiguous   = errors.New("fulmarstore: no answer, the write may have taken effect")
	ErrTooLarge    = errors.New("fulmarstore: value is too large")
)

// StatusError is an answer that refuses the request itself.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("fulmarstore: status %d: %s", e.Status, e.Text)
}

const (
	// MaxValue is the largest value that the service holds, in bytes.
	MaxValueSize = 1_000_000
	// maxBody bounds an answer: a value in base64 with its metadata, or a catalog of thousands of nodes.
	maxBody      = 4 << 20
	maxErrorText = 256
)

// Value is the value of a key. Index is zero only if the key does not exist.
type Value struct {
	Data  []byte
	Index uint64
}

// Client is a client of the key-value service; it is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	http    *http.Client
	kinds   sync.Map // by operation and key: chan struct{} of capacity 1
}

// New returns a client of the service at the URL address; each call lasts at most timeout, a watch its wait longer.
func New(address string, timeout time.Duration, client *http.Client) *Client {
	return &Client{address: strings.TrimSuffix(address, "/"), timeout: timeout, http: client}
}

// enter waits until no other call of the kind is in flight.
func (c *Client) enter(ctx context.Context, kind string) (leave func(), err error) {
	gate, ok := c.kinds.Load(kind)
	if !ok {
		gate, _ = c.kinds.LoadOrStore(kind, make(chan struct{}, 1))
	}
	slot := gate.(chan struct{})
	select {
	case slot <- struct{}{}:
		return func() { <-slot }, nil
	case <-ctx.Done():
		return nil, failure(ErrUnavailable, errors.Wrap(ctx.Err(), "another call is in flight"))
	}
}

// failure is one of the sentinel errors with its cause.
func failure(sentinel, cause error) error { return &callError{sentinel, cause} }

type callError struct{ sentinel, cause error }

func (e *callError) Error() string   { return e.sentinel.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.sentinel, e.cause} }

// call is one request; write says that the request has an effect.
type call struct {
	kind   string
	method string
	path   string
	query  url.Values
	body   []byte
	write  bool
	wait   time.Duration // added to the timeout
}

// answer is a response of status 200 or 404.
type answer struct {
	found bool
	body  []byte
	index uint64
}

func (c *Client) do(ctx context.Context, q call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+q.wait)
	defer cancel()
	leave, err := c.enter(ctx, q.kind)
	if err != nil {
		return answer{}, err
	}
	defer leave()
	// A connection that was obtained may have carried the request, even if the transport reports no write.
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	address := c.address + q.path
	if len(q.query) > 0 {
		address += "?" + q.query.Encode()
	}
	req, err := http.NewRequestWithContext(traced, q.method, address, bytes.NewReader(q.body))
	if err != nil {
		return answer{}, errors.Wrap(err, "fulmarstore")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, failure(lost(q.write && sent.Load()), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = ErrTooLarge
	}
	if err != nil {
		return answer{}, failure(lost(q.write), err)
	}
	return classify(resp, body, q.write)
}

// lost returns the error for a call without an answer.
func lost(ambiguous bool) error {
	if ambiguous {
		return ErrAmbiguous
	}
	return ErrUnavailable
}

func classify(resp *http.Response, body []byte, write bool) (answer, error) {
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	status := &StatusError{resp.StatusCode, strings.TrimSpace(string(body[:min(len(body), maxErrorText)]))}
	switch {
	case resp.StatusCode == http.StatusOK:
		return answer{true, body, index}, nil
	case resp.StatusCode == http.StatusNotFound:
		return answer{false, nil, index}, nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return answer{}, failure(ErrUnavailable, status)
	case resp.StatusCode >= 500:
		// A server that lost its leader may have passed the write on before.
		return answer{}, failure(lost(write), status)
	}
	return answer{}, status
}

// Get returns the value of key by a consistent read.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	a, err := c.do(ctx, call{kind: "get " + key, method: http.MethodGet, path: kv(key), query: url.Values{"consistent": {""}}})
	return value(a, err)
}

// Watch returns the value of key as soon as its index differs from index, or after wait at the latest.
// With ErrNotFound, the value's index is the one to watch from next; it is not the index of a value.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error) {
	// The service adds up to a sixteenth to the wait so that watches do not end all at once.
	a, err := c.do(ctx, call{
		kind: "watch " + key, method: http.MethodGet, path: kv(key), wait: wait + wait/16,
		query: url.Values{"consistent": {""}, "index": {strconv.FormatUint(index, 10)}, "wait": {wait.String()}},
	})
	return value(a, err)
}

func kv(key string) string { return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath() }

func value(a answer, err error) (Value, error) {
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
		return Value{}, failure(ErrUnavailable, err)
	}
	if len(pairs) != 1 || pairs[0].ModifyIndex == 0 {
		return Value{}, failure(ErrUnavailable, errors.New("answer does not have exactly one value"))
	}
	return Value{pairs[0].Value, pairs[0].ModifyIndex}, nil
}

// Put replaces the value of key if its index is still index; zero creates the key.
func (c *Client) Put(ctx context.Context, key string, data []byte, index uint64) error {
	if len(data) > MaxValueSize {
		return ErrTooLarge
	}
	done, err := c.decide(ctx, call{
		kind: "put " + key, method: http.MethodPut, path: kv(key), body: data, write: true,
		query: url.Values{"cas": {strconv.FormatUint(index, 10)}},
	})
	if err == nil && !done {
		return ErrConflict
	}
	return err
}

// Acquire writes data to key and locks it for session; false if another session holds it.
// It may be repeated after ErrAmbiguous: a session acquires what it already holds.
func (c *Client) Acquire(ctx context.Context, key, session string, data []byte) (bool, error) {
	if len(data) > MaxValueSize {
		return false, ErrTooLarge
	}
	return c.decide(ctx, call{
		kind: "acquire " + key, method: http.MethodPut, path: kv(key), body: data, write: true,
		query: url.Values{"acquire": {session}},
	})
}

// decide makes a call that is answered by true or false.
func (c *Client) decide(ctx context.Context, q call) (bool, error) {
	a, err := c.do(ctx, q)
	if err != nil {
		return false, err
	}
	switch strings.TrimSpace(string(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, failure(ErrAmbiguous, errors.Errorf("answer is neither true nor false: %.64q", a.body))
}

// NewSession creates a session that lapses unless it is renewed within ttl.
// It has no lock delay: order is decided by compare-and-swap, so a new holder need not wait.
func (c *Client) NewSession(ctx context.Context, ttl time.Duration) (string, error) {
	body, err := json.Marshal(map[string]any{
		"Name": "fulmarbend", "TTL": ttl.String(), "LockDelay": "0s",
		"NodeChecks": []string{}, // the health of the store's own node says nothing about the holder
	})
	if err != nil {
		return "", errors.Wrap(err, "fulmarstore")
	}
	a, err := c.do(ctx, call{kind: "session", method: http.MethodPut, path: "/v1/session/create", body: body, write: true})
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(a.body, &created); err != nil || created.ID == "" {
		return "", failure(ErrAmbiguous, errors.Errorf("answer has no session: %.64q", a.body))
	}
	return created.ID, nil
}

// Renew extends a session; ErrNotFound if it has lapsed.
func (c *Client) Renew(ctx context.Context, session string) error {
	a, err := c.do(ctx, call{kind: "renew", method: http.MethodPut, path: "/v1/session/renew/" + url.PathEscape(session), write: true})
	if err == nil && !a.found {
		return ErrNotFound
	}
	return err
}

// Destroy ends a session and releases what it holds.
func (c *Client) Destroy(ctx context.Context, session string) error {
	_, err := c.do(ctx, call{kind: "destroy", method: http.MethodPut, path: "/v1/session/destroy/" + url.PathEscape(session), write: true})
	return err
}

// Node is an entry of the catalog.
type Node struct {
	ID         string
	Address    string // host:port
	DataCentre string
	Meta       map[string]string
}

// Nodes returns the catalog's entries for a service; the catalog lags behind reality.
func (c *Client) Nodes(ctx context.Context, service string) ([]Node, error) {
	a, err := c.do(ctx, call{kind: "nodes " + service, method: http.MethodGet, path: "/v1/catalog/service/" + url.PathEscape(service)})
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
		return nil, failure(ErrUnavailable, err)
	}
	nodes := make([]Node, 0, len(entries))
	for _, e := range entries {
		if e.ServiceAddress == "" {
			e.ServiceAddress = e.Address // the service listens on its node's address
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
