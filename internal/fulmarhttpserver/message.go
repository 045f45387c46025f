package fulmarhttpserver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
)

// Request is a request of which the head and the first part of the body were read.
type Request struct {
	*http.Request
	Payload       *fulmarbody.Body
	ReceivedAt    time.Time // time when the head was complete
	RemoteAddress string

	held  int64 // bytes of the body for which memory is reserved, without those that Payload retains
	short int64 // bytes of a short body, which are counted without a reservation
}

// Answer is the answer to a request. If Status is zero, the connection ends with a reset in its place.
type Answer struct {
	Status    int
	Header    http.Header   // end-to-end headers without Content-Length
	Body      []byte        // the whole body, or its first part if Remainder is set
	Remainder io.ReadCloser // nil if Body is the whole body
	Length    int64         // of the whole body if Remainder is set, -1 if unknown
	Close     bool          // close the connection after the answer
	Deadline  time.Time     // the connection is reset if Remainder has not been written by then; zero for no limit
	// Finished is called once, after Remainder is closed, with the error of writing the answer. It may be nil.
	Finished func(error)
}

// end closes the remainder and reports the result of writing the answer.
func (a *Answer) end(err error) {
	if a.Remainder != nil {
		a.Remainder.Close()
	}
	if a.Finished != nil {
		a.Finished(err)
	}
}

// Handler serves requests.
type Handler interface {
	// Repeatable reports whether the request is idempotent and may start before earlier requests of its connection
	// are answered.
	Repeatable(r *Request) bool
	// Serve returns the answer. ctx is cancelled when the caller closes the connection, and with the cause
	// ErrInterrupted when the server interrupts its requests. It lasts until the answer is written.
	Serve(ctx context.Context, r *Request) *Answer
}

// maxCopiedBody is the longest body that is copied behind its head, in bytes. One write less is worth the copy of a short body; a long
// one would be held twice while its caller reads slowly.
const maxCopiedBody = 8 << 10

// hasNoBody reports whether HTTP defines the answer as one without a body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// isDelimited reports whether callers can tell an incomplete body of the answer from a complete one without a reset: by its length
// or its last chunk.
func (a *Answer) isDelimited(r *http.Request) bool {
	return a.Remainder == nil || a.Length >= 0 || r.ProtoAtLeast(1, 1) || hasNoBody(r.Method, a.Status)
}

// write writes the answer. If closeAfter is set, it announces that the connection is closed after the answer. mustClose
// reports that the connection cannot be reused.
func (a *Answer) write(w io.Writer, r *http.Request, closeAfter bool) (mustClose bool, err error) {
	closeAfter = closeAfter || a.Close
	var head bytes.Buffer
	head.Grow(512 + min(len(a.Body), maxCopiedBody))
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
	noBody := hasNoBody(r.Method, a.Status)
	chunked := false
	switch {
	case noBody && a.Status != http.StatusOK:
	case a.Remainder == nil:
		head.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	case a.Length >= 0:
		head.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
	case r.ProtoAtLeast(1, 1):
		chunked = true
		head.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		closeAfter = true // only the end of the connection marks the end of the body
	}
	if closeAfter {
		head.WriteString("Connection: close\r\n")
	} else if !r.ProtoAtLeast(1, 1) {
		head.WriteString("Connection: keep-alive\r\n")
	}
	head.WriteString("\r\n")
	if noBody {
		_, err := w.Write(head.Bytes())
		return closeAfter, err
	}
	if a.Remainder == nil && len(a.Body) <= maxCopiedBody {
		head.Write(a.Body)
		_, err := w.Write(head.Bytes())
		return closeAfter, err
	}
	if _, err := w.Write(head.Bytes()); err != nil {
		return true, err
	}
	if chunked {
		return closeAfter, a.writeBody(&chunkWriter{w})
	}
	return closeAfter, a.writeBody(w)
}

// writeBody writes the body and, if it is chunked, the last chunk.
func (a *Answer) writeBody(w io.Writer) error {
	if len(a.Body) > 0 {
		if _, err := w.Write(a.Body); err != nil {
			return err
		}
	}
	if a.Remainder == nil {
		return nil
	}
	// The wrapper hides any ReadFrom method of w from io.Copy, as its fast path would bypass chunkWriter.
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

// chunkWriter writes a body in the chunked transfer coding.
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

// end writes the last chunk.
func (c *chunkWriter) end() error {
	_, err := io.WriteString(c.w, "0\r\n\r\n")
	return err
}
