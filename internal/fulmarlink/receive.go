package fulmarlink

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhead"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstatus"
)

// errHeadTooLarge is returned for the head of an answer over maxAnswerHead.
var errHeadTooLarge = errors.New("fulmarlink: head of the answer is too large")

// discardAnswer reads and discards a late answer to an earlier request. It fails if the answer is longer than
// maxStaleBody, as the rest of it would be read as the next answer.
func (p *Pool) discardAnswer(resp *http.Response) error {
	// The body is not closed, as that would read a chunked one to its end.
	n, err := io.CopyN(io.Discard, resp.Body, maxStaleBody+1)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if n > maxStaleBody {
		return errors.New("late answer to an earlier request is too large")
	}
	if resp.Close {
		return errors.New("connection closed after a late answer to an earlier request")
	}
	return nil
}

// receive reads the head of the next final answer and skips interim ones. A target in trouble may send bytes that are
// no answer without an end, so the heads together are limited.
func receive(c *conn, method string) (*http.Response, error) {
	c.readLimit = maxAnswerHead
	defer func() { c.readLimit = noReadLimit }()
	for range maxInterimAnswers {
		c.head = headScanner{}
		if buffered, err := c.reader.Peek(c.reader.Buffered()); err == nil {
			c.head.scan(buffered)
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if c.head.folded {
			return nil, errors.New("fulmarlink: line of the head starts with white space")
		}
		if err := fulmarhead.Fields(resp.Header).Check(); err != nil {
			return nil, err
		}
		code := fulmarstatus.Code(resp.StatusCode)
		if code.IsFinal() {
			return resp, nil
		}
		if !code.IsInterim() {
			return nil, errors.Errorf("fulmarlink: status %d is none", resp.StatusCode)
		}
	}
	return nil, errors.New("too many interim answers")
}

// readAnswer reads the body of an answer up to the body limit. It also reports whether the connection can be reused.
func (p *Pool) readAnswer(c *conn, resp *http.Response) (*Answer, bool, error) {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Closing: resp.Close}
	c.idleTimeout = p.settings.IdleTimeout
	if limit, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = min(c.idleTimeout, limit-keepAliveMargin)
	}
	keep := !resp.Close && c.idleTimeout > 0
	size, limit := int64(chunkSize), p.settings.BodyLimit
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength, limit)
	}
	if p.settings.HasRoom != nil && limit > scarceBodyLimit && !p.settings.HasRoom(size) {
		limit = scarceBodyLimit
		size = min(size, limit)
	}
	buf := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, false, err
	}
	a.Body = buf.Bytes()
	if n == limit && n != resp.ContentLength {
		a.Remainder = resp.Body
		return a, keep, nil
	}
	a.Length = n
	return a, keep, nil
}

// remainder is the unread part of the body of an answer.
type remainder struct {
	io.ReadCloser
	once   sync.Once
	finish func(whole bool)
}

func (r *remainder) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if err != nil {
		r.once.Do(func() { r.finish(errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close resets the connection unless the body was read to its end.
func (r *remainder) Close() error {
	r.once.Do(func() { r.finish(false) })
	return nil
}

// EndToEnd returns the headers of src without the hop-by-hop headers.
func EndToEnd(src http.Header) http.Header {
	dst := make(http.Header, len(src)+2)
	for name, values := range src {
		if !hopByHop[name] {
			dst[name] = values
		}
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(dst, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return dst
}

// hopByHop lists the headers that apply to one connection or one message only.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}
