package fulmarforwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreserve"
)

// answerSize exceeds the body limit of the fixture's pool, so that the answer is streamed.
const answerSize = 3 << 20

// largeTarget answers each request with the head, and then hands the connection to send.
func largeTarget(t *testing.T, id, head string, send func(net.Conn)) *target {
	t.Helper()
	return &target{id: id, listener: listen(t, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, strings.ReplaceAll(head, "ID", req.Header.Get("Id"))); err != nil {
				return
			}
			send(c)
		}
	})}
}

func largeHead(length string) string {
	return "HTTP/1.1 200 x\r\nSign: s\r\nId: ID\r\n" + length + "\r\n\r\n"
}

// sendBody writes size bytes in pieces with a pause after each.
func sendBody(size int, pause time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		piece := bytes.Repeat([]byte("b"), 256<<10)
		for sent := 0; sent < size; sent += len(piece) {
			if _, err := c.Write(piece[:min(len(piece), size-sent)]); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// logBuffer is a buffer for log lines that is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// service is a forwarder behind a server of callers.
type service struct {
	*fixture
	server  *fulmarhttpserver.Server
	address string
	log     *logBuffer
}

func serve(t *testing.T, targets ...*target) *service {
	t.Helper()
	s := &service{fixture: start(t, true, targets...), log: &logBuffer{}}
	d := s.deps
	d.Log = slog.New(slog.NewTextHandler(s.log, nil))
	limits := fulmarhttpserver.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
	s.server = fulmarhttpserver.New(fulmarforwarder.New(d), func() fulmarhttpserver.Limits { return limits }, fulmarreserve.New(0), slog.New(slog.DiscardHandler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.server.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *service) call(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	if _, err := io.WriteString(c, "GET /f/1 HTTP/1.1\r\nHost: h\r\nId: one\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return &caller{c, bufio.NewReader(c)}
}

// receive reads an answer and returns the length of its body.
func (c *caller) receive() (status, size int, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, int(n), err
}

func (s *service) expectLogged(g Gomega, parts ...string) {
	for _, part := range parts {
		g.Eventually(s.log.String).Should(ContainSubstring(part))
	}
}

// Guards against a large answer that is cut off once the handler has returned: all downloads over 256 KiB of a
// deployment were reset in the middle.
func TestLargeAnswer(t *testing.T) {
	for _, c := range []struct{ name, length string }{
		{"of known length", "Content-Length: " + strconv.Itoa(answerSize)},
		{"until the connection ends", "Connection: close"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x := largeTarget(t, "x", largeHead(c.length), func(conn net.Conn) {
				sendBody(answerSize, 5*time.Millisecond)(conn)
				if c.length == "Connection: close" {
					conn.Close()
				}
			})
			s := serve(t, x)
			status, size, err := s.call(t).receive()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(200))
			g.Expect(size).To(Equal(answerSize))
			s.expectLogged(g, "status=200", `reason=""`, "bytes="+strconv.Itoa(answerSize))
		})
	}
}

// Guards against a large answer that ends early and looks complete, or whose log line says that it was served.
func TestLargeAnswerCut(t *testing.T) {
	half := answerSize / 2
	for _, c := range []struct{ name, length, reason string }{
		{"of known length", "Content-Length: " + strconv.Itoa(answerSize), "reason=cut"},
		{"chunked", "Transfer-Encoding: chunked", "reason=cut"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x := largeTarget(t, "x", largeHead(c.length), func(conn net.Conn) {
				if strings.HasPrefix(c.length, "Transfer") {
					_, _ = io.WriteString(conn, strconv.FormatInt(int64(answerSize), 16)+"\r\n")
				}
				sendBody(half, 0)(conn)
				conn.Close()
			})
			s := serve(t, x)
			status, size, err := s.call(t).receive()
			g.Expect(err).To(HaveOccurred())
			g.Expect(status).To(Equal(200))
			g.Expect(size).To(BeNumerically("<=", half))
			s.expectLogged(g, c.reason, "cause=")
		})
	}
}

// Guards against a shutdown that cuts off a large answer which it finds under way.
func TestLargeAnswerDuringShutdown(t *testing.T) {
	g := NewWithT(t)
	x := largeTarget(t, "x", largeHead("Content-Length: "+strconv.Itoa(answerSize)), sendBody(answerSize, 15*time.Millisecond))
	s := serve(t, x)
	c := s.call(t)
	_, err := c.reader.Peek(1)
	g.Expect(err).NotTo(HaveOccurred())
	s.server.Drain()
	stop := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				s.server.CloseIdle()
			}
		}
	})
	_, size, err := c.receive()
	close(stop)
	closer.Wait()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(size).To(Equal(answerSize))
}

// Guards against a target that goes on sending to a caller that has left, or after the request's deadline (400 ms).
func TestLargeAnswerEnds(t *testing.T) {
	endless := func(ended chan time.Time) func(net.Conn) {
		return func(conn net.Conn) {
			piece := bytes.Repeat([]byte("b"), 64<<10)
			for {
				if _, err := conn.Write(piece); err != nil {
					ended <- time.Now()
					conn.Close()
					return
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
	t.Run("caller leaves", func(t *testing.T) {
		g := NewWithT(t)
		ended := make(chan time.Time, 1)
		s := serve(t, largeTarget(t, "x", largeHead("Connection: close"), endless(ended)))
		c := s.call(t)
		_, err := c.reader.Peek(1)
		g.Expect(err).NotTo(HaveOccurred())
		c.Close()
		g.Eventually(ended, "300ms").Should(Receive())
		s.expectLogged(g, "reason=caller-left")
	})
	t.Run("caller does not read", func(t *testing.T) {
		g := NewWithT(t)
		ended := make(chan time.Time, 1)
		s := serve(t, largeTarget(t, "x", largeHead("Connection: close"), endless(ended)))
		s.call(t)
		g.Eventually(ended, "900ms").Should(Receive())
		s.expectLogged(g, "reason=late")
	})
	t.Run("body without an end", func(t *testing.T) {
		g := NewWithT(t)
		ended := make(chan time.Time, 1)
		s := serve(t, largeTarget(t, "x", largeHead("Transfer-Encoding: chunked")+"7fffffff\r\n", endless(ended)))
		began := time.Now()
		_, _, err := s.call(t).receive()
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond))
		g.Eventually(ended).Should(Receive())
		s.expectLogged(g, "reason=late")
	})
}

// Guards against requests that count as in flight at a target for good after a streamed answer: four would block it.
func TestLargeAnswersRelease(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, largeTarget(t, "x", largeHead("Content-Length: "+strconv.Itoa(answerSize)), sendBody(answerSize, 0)))
	for range 6 {
		status, size, err := s.call(t).receive()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(200))
		g.Expect(size).To(Equal(answerSize))
	}
}

// Guards against a shutdown that ends connections without an answer, or that states that a request has not run which its
// target has received.
func TestShutdownAnswers(t *testing.T) {
	g := NewWithT(t)
	x := newTarget(t, "x", noAnswer)
	s := serve(t, x)
	c := s.call(t)
	g.Eventually(func() int { return sends(x) }).Should(Equal(1))
	s.server.Drain()
	s.server.Interrupt()
	status, _, err := c.receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(504))
	s.expectLogged(g, "reason=shutdown")
	status, _, err = s.call(t).receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(503), "not sent to any target")
	g.Expect(sends(x)).To(Equal(1))
}

// Guards against a refusal of which the log cannot tell whether its target's answers came on one connection.
func TestPlacesOfAnswersLogged(t *testing.T) {
	g := NewWithT(t)
	x, y := newTarget(t, "x", notRun), newTarget(t, "y", strings.Replace(late, "200", "503", 1)+notRun)
	s := serve(t, x, y)
	status, _, err := s.call(t).receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	s.expectLogged(g, " 503 marked at 1.1", " 503 marked at 2.1", " late 1")
}
