package fulmarlink

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// inMemory is a body that is in memory as a whole, such as *bytes.Reader.
type inMemory interface {
	io.WriterTo
	Len() int
}

// sendHead writes the head of the request to the connection. A body that is already in memory goes out in one write with it;
// otherwise, sendBody writes the body, and is nil if there is none.
func sendHead(c *conn, r *Request) (sendBody func() error, err error) {
	var head bytes.Buffer
	head.Grow(requestBuffer)
	head.WriteString(r.Method)
	head.WriteByte(' ')
	head.WriteString(r.URI)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(r.Host)
	head.WriteString("\r\n")
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	hasBody := r.Body != nil && r.Body != http.NoBody
	switch {
	case !hasBody:
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			head.WriteString("Content-Length: 0\r\n")
		}
	case r.Length >= 0:
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.FormatInt(r.Length, 10))
		head.WriteString("\r\n")
	default:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	head.WriteString("\r\n")
	if b, ok := r.Body.(inMemory); ok && int64(b.Len()) == r.Length {
		if _, err := b.WriteTo(&head); err != nil {
			return nil, err
		}
		_, err := c.Write(head.Bytes())
		return nil, err
	}
	if _, err := c.Write(head.Bytes()); err != nil || !hasBody {
		return nil, err
	}
	if r.Length >= 0 {
		return func() error { return sendWithLength(c, r.Body, r.Length) }, nil
	}
	return func() error { return sendChunked(c, r.Body) }, nil
}

// sendWithLength writes a body of the given length.
func sendWithLength(c *conn, r io.Reader, length int64) error {
	body := &bodyReader{Reader: r}
	n, err := io.Copy(c, body)
	if body.readError != nil || err == nil && n != length {
		return errors.Wrapf(errBodyIncomplete, "%d of %d bytes: %v", n, length, body.readError)
	}
	return err
}

// sendChunked writes the body in the chunked transfer coding.
func sendChunked(c *conn, body io.Reader) error {
	buf := make([]byte, chunkSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			sizeLine := strconv.FormatInt(int64(n), 16) + "\r\n"
			if _, werr := io.WriteString(c, sizeLine+string(buf[:n])+"\r\n"); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(c, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return errors.Wrap(errBodyIncomplete, err.Error())
		}
	}
}

// errBodyIncomplete means that the caller's body ended early, so that the target cannot answer.
var errBodyIncomplete = errors.New("fulmarlink: request body is incomplete")

// bodyReader records whether reading a body failed, which io.Copy does not distinguish from a failed write.
type bodyReader struct {
	io.Reader
	readError error
}

func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.readError = err
	}
	return n, err
}
