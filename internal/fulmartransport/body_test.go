package fulmartransport_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
)

// gatedBody is a request body that returns its first piece at once and the others after the gate has opened.
type gatedBody struct {
	pieces  int // left
	first   bool
	gate    chan struct{}
	waiting chan struct{} // closed when a read waits for the gate
	after   *atomic.Bool  // RoundTrip has returned
	late    atomic.Int32  // reads that began after RoundTrip had returned
	ended   atomic.Bool
}

const pieceSize = 1000

func (b *gatedBody) Read(p []byte) (int, error) {
	if b.after.Load() {
		b.late.Add(1)
	}
	if b.pieces == 0 {
		b.ended.Store(true)
		return 0, io.EOF
	}
	if !b.first {
		b.first = true
	} else {
		if b.waiting != nil {
			close(b.waiting)
			b.waiting = nil
		}
		<-b.gate
	}
	b.pieces--
	return copy(p, strings.Repeat("b", pieceSize)), nil
}

func (b *gatedBody) Close() error { return nil }

// Guards against a request that is sent further after RoundTrip has returned, beside another reader of its body: net/http
// returns an answer while its write loop still reads the request.
func TestBodyAfterAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		length int64
	}{
		{"rejected, in chunks", http.StatusServiceUnavailable, -1},
		{"rejected, with a length", http.StatusServiceUnavailable, 50 * pieceSize},
		{"served early, in chunks", http.StatusOK, -1},
		{"served early, with a length", http.StatusOK, 50 * pieceSize},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			received := make(chan error, 1)
			var size atomic.Int64
			waiting := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				control := http.NewResponseController(w)
				_ = control.EnableFullDuplex()
				<-waiting // the answer comes while a read of the body waits
				w.WriteHeader(c.status)
				_ = control.Flush()
				n, err := io.Copy(io.Discard, r.Body)
				size.Store(n)
				received <- err
			}))
			defer server.Close()
			transport := fulmartransport.New(1, nil)
			defer transport.Close()
			var returned atomic.Bool
			body := &gatedBody{pieces: 50, gate: make(chan struct{}), waiting: waiting, after: &returned}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, body)
			g.Expect(err).NotTo(HaveOccurred())
			r.ContentLength = c.length
			early := c.status < http.StatusBadRequest
			if early {
				// The answer waits for the rest of the request, so the gate has to open first.
				time.AfterFunc(50*time.Millisecond, func() { close(body.gate) })
			}
			resp, err := transport.RoundTrip(r)
			returned.Store(true)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(c.status))
			if early {
				g.Expect(body.ended.Load()).To(BeTrue(), "the whole request has been read")
				g.Eventually(received).Should(Receive(BeNil()))
				g.Expect(size.Load()).To(BeEquivalentTo(50 * pieceSize))
			} else {
				close(body.gate)
				g.Eventually(received).Should(Receive(HaveOccurred()), "the target sees that the request is incomplete")
			}
			g.Expect(body.late.Load()).To(BeZero())
		})
	}
}

// lateEnd is a request body whose end is returned once the gate has opened.
type lateEnd struct {
	io.Reader
	gate, closed chan struct{}
}

func (b lateEnd) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		<-b.gate
	}
	return n, err
}

func (b lateEnd) Close() error {
	close(b.closed)
	return nil
}

// Guards against a connection that is closed behind a rejection of a whole request: the server may answer it before net/http has
// seen the end of its body.
func TestRejectionBeforeEndOfBody(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	connections := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		connections[r.RemoteAddr] = true
		mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, "refused")
	}))
	defer server.Close()
	transport := fulmartransport.New(1, nil)
	defer transport.Close()
	for range 20 {
		body := lateEnd{strings.NewReader("question"), make(chan struct{}), make(chan struct{})}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, body)
		g.Expect(err).NotTo(HaveOccurred())
		r.ContentLength = int64(len("question"))
		resp, err := transport.RoundTrip(r)
		g.Expect(err).NotTo(HaveOccurred())
		close(body.gate)
		<-body.closed // net/http keeps no connection whose request is still being written 50 ms after the answer
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
	}
	g.Expect(connections).To(HaveLen(1))
}

// endlessBody is a request body without an end.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
func (endlessBody) Close() error               { return nil }

// Guards against a request that waits without an end for a target that answers and never reads the rest.
func TestAnswerWithoutReading(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.WriteHeader(http.StatusOK)
		_ = control.Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	transport := fulmartransport.New(1, nil)
	defer transport.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, endlessBody{})
	g.Expect(err).NotTo(HaveOccurred())
	r.ContentLength = -1
	_, err = transport.RoundTrip(r) //nolint:bodyclose // there is no answer
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(MatchError(fulmartransport.ErrUnsent))
}
