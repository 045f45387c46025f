package fulmarserve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
)

// Request is a request whose head and first part of the body were read.
type Request struct {
	*http.Request
	Payload       *fulmarbody.Body
	ReceivedAt    time.Time // when the head was complete
	RemoteAddress string
}

// Answer is what a request is answered with. The zero Status breaks the connection off without an answer.
type Answer struct {
	Status    int
	Header    http.Header   // end-to-end headers without Content-Length
	Body      []byte        // the whole body, or its first part if Rest is set
	Remainder io.ReadCloser // nil if Body is the whole body
	Length    int64         // of the whole body if Rest is set, -1 if unknown
	Close     bool          // close the connection after the answer
}

// Handler serves requests.
type Handler interface {
	// Repeatable reports whether the request may be started before earlier requests of its connection are
	// answered; it must be idempotent.
	Repeatable(r *Request) bool
	// Serve returns the answer. ctx ends when the caller has left.
	Serve(ctx context.Context, r *Request) *Answer
}

// bodiless reports whether an answer has no body by definition.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// write sends an answer; ended reports that the connection cannot be used again.
func (a *Answer) write(w io.Writer, r *http.Request, closing bool) (ended bool, err error) {
	if a.Remainder != nil {
		defer a.Remainder.Close()
	}
	closing = closing || a.Close
	var head bytes.Buffer
	head.Grow(512 + len(a.Body))
	text := http.StatusText(a.Status)
	if text == "" {
		text = "Status"
	}
	head.WriteString("HTTP/1.1 ")
	head.WriteString(strconv.Itoa(a.Status))
	head.WriteByte(' ')
	head.WriteString(text)
	head.WriteString("\r\n")
	if err := a.Header.Write(&head); err != nil {
		return true, err
	}
	none := bodiless(r.Method, a.Status)
	chunked := false
	switch {
	case none && a.Status != http.StatusOK:
	case a.Remainder == nil:
		head.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	case a.Length >= 0:
		head.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
	case r.ProtoAtLeast(1, 1):
		chunked = true
		head.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		closing = true // only the end of the connection marks the end of the body
	}
	if closing {
		head.WriteString("Connection: close\r\n")
	} else if !r.ProtoAtLeast(1, 1) {
		head.WriteString("Connection: keep-alive\r\n")
	}
	head.WriteString("\r\n")
	if none {
		_, err := w.Write(head.Bytes())
		return closing, err
	}
	if a.Remainder == nil {
		head.Write(a.Body)
		_, err := w.Write(head.Bytes())
		return closing, err
	}
	if _, err := w.Write(head.Bytes()); err != nil {
		return true, err
	}
	if chunked {
		return closing, a.stream(&chunkWriter{w})
	}
	return closing, a.stream(w)
}

// stream writes the body and, if w marks its end, that mark.
func (a *Answer) stream(w io.Writer) error {
	if len(a.Body) > 0 {
		if _, err := w.Write(a.Body); err != nil {
			return err
		}
	}
	// The target's reader must not be used by io.Copy's fast paths, which would bypass chunkWriter.
	n, err := io.Copy(struct{ io.Writer }{w}, a.Remainder)
	if err != nil {
		return err
	}
	if a.Length >= 0 && n+int64(len(a.Body)) != a.Length {
		return io.ErrUnexpectedEOF
	}
	if c, ok := w.(*chunkWriter); ok {
		return c.end()
	}
	return nil
}

// chunkWriter frames a body of unknown length.
type chunkWriter struct{ w io.Writer }

func (c *chunkWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	frame := make([]byte, 0, len(b)+16)
	frame = strconv.AppendInt(frame, int64(len(b)), 16)
	frame = append(frame, "\r\n"...)
	frame = append(frame, b...)
	frame = append(frame, "\r\n"...)
	if _, err := c.w.Write(frame); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (c *chunkWriter) end() error {
	_, err := io.WriteString(c.w, "0\r\n\r\n")
	return err
}
