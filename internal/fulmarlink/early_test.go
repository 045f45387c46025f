package fulmarlink_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
)

const (
	streamedSize  = 8 << 20 // bytes of a body that does not fit into the buffers of a connection
	answerTimeout = 3 * time.Second
	rejection     = "HTTP/1.1 503 x\r\nId: one\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
)

// earlyTarget accepts one connection, reads the head of one request, and calls serve with the rest.
func earlyTarget(t *testing.T, serve func(c net.Conn, r *http.Request)) string {
	t.Helper()
	return limitedTarget(t, 1, func(c net.Conn) {
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			serve(c, r)
		}
	})
}

// streamed returns a request whose body is read while it is sent.
func streamed(body io.Reader, length int64) *fulmarlink.Request {
	r := request("one", "")
	r.Body, r.Length = body, length
	return r
}

// Guards against a rejection that is noticed only when its target has read a long body, or at the deadline if it does not.
func TestEarlyRejection(t *testing.T) {
	for name, length := range map[string]int64{"with a length": streamedSize, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			release := make(chan struct{})
			defer close(release)
			address := earlyTarget(t, func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, rejection)
				<-release // nothing more is read
			})
			p := newPool(t)
			ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
			defer cancel()
			body := bytes.NewReader(make([]byte, streamedSize))
			began := time.Now()
			a, err := p.Do(ctx, address, streamed(struct{ io.Reader }{body}, length))
			expectBody(g, a, err, "full")
			g.Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond), "before sent data has been unacknowledged for too long")
			g.Expect(body.Len()).To(BeNumerically(">", 0), "sending stops")
			g.Expect(p.Open(address)).To(BeZero(), "the target expects the rest of the body on the connection")
		})
	}
}

// Guards against a body that is cut because its target has begun a successful answer before it has read it.
func TestEarlyAnswer(t *testing.T) {
	g := NewWithT(t)
	read := make(chan int64, 1)
	address := earlyTarget(t, func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\nId: one\r\nContent-Length: 2\r\n\r\n")
		n, _ := io.Copy(io.Discard, r.Body)
		read <- n
		_, _ = io.WriteString(c, "ok")
	})
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	a, err := newPool(t).Do(ctx, address, streamed(struct{ io.Reader }{bytes.NewReader(make([]byte, streamedSize))}, -1))
	expectBody(g, a, err, "ok")
	g.Expect(<-read).To(BeEquivalentTo(streamedSize))
}

// Guards against a request that waits for its deadline although its body has ended early or its target has gone, at each point.
func TestStreamedBodyBreaksOff(t *testing.T) {
	for _, size := range []int{0, 1, 100, 5000, 100_000, 1_000_000} {
		t.Run("body", func(t *testing.T) {
			g := NewWithT(t)
			address := earlyTarget(t, func(_ net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			body := io.MultiReader(strings.NewReader(strings.Repeat("b", size)), iotest.ErrReader(io.ErrUnexpectedEOF))
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
			defer cancel()
			_, err := newPool(t).Do(ctx, address, streamed(body, streamedSize))
			g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
			g.Expect(time.Since(began)).To(BeNumerically("<", answerTimeout/2))
		})
		t.Run("target", func(t *testing.T) {
			g := NewWithT(t)
			address := earlyTarget(t, func(_ net.Conn, r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, int64(size)) })
			ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
			defer cancel()
			_, err := newPool(t).Do(ctx, address, streamed(struct{ io.Reader }{bytes.NewReader(make([]byte, streamedSize))}, -1))
			g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
		})
	}
}
