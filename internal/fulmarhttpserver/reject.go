package fulmarhttpserver

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// reject answers an invalid request after the earlier ones and ends the connection.
func (c *conn) reject(previous chan struct{}, a *Answer) error {
	if a == nil {
		return net.ErrClosed
	}
	select {
	case <-previous:
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	c.requestStarted()
	defer c.server.inFlight.Add(-1)
	a.Close = true
	c.server.log.Info("request rejected", "remote", c.RemoteAddr().String(), "status", a.Status, "reason", string(a.Body))
	c.writeAnswer(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, c.requests+1, a)
	return net.ErrClosed
}

// textAnswer returns an answer with a plain text body.
func textAnswer(status int, text string) *Answer {
	return &Answer{Status: status, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, Body: []byte(text)}
}

// headErrorAnswer returns the answer to a request whose head cannot be read, or nil if the connection is broken.
func headErrorAnswer(err error) *Answer {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return textAnswer(http.StatusRequestHeaderFieldsTooLarge, "head of the request is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return textAnswer(http.StatusRequestTimeout, "head of the request did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	var network net.Error
	if errors.As(err, &network) {
		return nil
	}
	return textAnswer(http.StatusBadRequest, "request cannot be read")
}

// validate returns the answer to an invalid request, or nil if the request is valid.
func validate(r *http.Request, limits Limits) *Answer {
	switch {
	case r.ProtoMajor != 1:
		return textAnswer(http.StatusHTTPVersionNotSupported, "protocol version is not supported")
	case r.Host == "" || strings.ContainsAny(r.Host, "/ \t@"):
		return textAnswer(http.StatusBadRequest, "host is missing or not valid")
	case !strings.HasPrefix(r.RequestURI, "/"):
		return textAnswer(http.StatusBadRequest, "request target is not a path")
	case r.ContentLength > limits.BodyBytes:
		return textAnswer(http.StatusRequestEntityTooLarge, "body is too large")
	}
	return nil
}
