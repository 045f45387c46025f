package fulmarhttpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreserve"
)

// handler answers with the path of the request. A request for a path that begins with /wait waits until the channel
// gate(path) is closed; with /waitread, it reads the body before.
type handler struct {
	mu       sync.Mutex
	gates    map[string]chan struct{}
	started  chan string // paths of started requests
	canceled chan string // paths of requests that were canceled while they waited
	served   atomic.Int64
	ended    atomic.Int64 // requests whose context had ended when they started
	answer   func(r *fulmarhttpserver.Request) *fulmarhttpserver.Answer
	// answerCanceled makes canceled requests return the cause as their answer.
	answerCanceled bool
}

func newHandler() *handler {
	return &handler{gates: map[string]chan struct{}{}, started: make(chan string, 64), canceled: make(chan string, 64)}
}

func (h *handler) gate(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[path] == nil {
		h.gates[path] = make(chan struct{})
	}
	return h.gates[path]
}

func (h *handler) Repeatable(r *fulmarhttpserver.Request) bool { return r.Method == http.MethodGet }

func (h *handler) Serve(ctx context.Context, r *fulmarhttpserver.Request) *fulmarhttpserver.Answer {
	h.served.Add(1)
	if ctx.Err() != nil {
		h.ended.Add(1)
	}
	h.started <- r.RequestURI
	readFirst := strings.HasPrefix(r.RequestURI, "/waitread")
	if readFirst {
		if _, err := readPayload(r); err != nil {
			return nil
		}
	}
	if strings.HasPrefix(r.RequestURI, "/wait") {
		select {
		case <-h.gate(r.RequestURI):
		case <-ctx.Done():
			h.canceled <- r.RequestURI
			if h.answerCanceled {
				return &fulmarhttpserver.Answer{Status: http.StatusGatewayTimeout, Header: http.Header{}, Body: []byte(context.Cause(ctx).Error())}
			}
			return nil
		}
	}
	if h.answer != nil {
		return h.answer(r)
	}
	body := r.RequestURI
	if r.Payload.Length() != 0 && !readFirst {
		b, err := readPayload(r)
		if err != nil {
			return nil
		}
		body += fmt.Sprintf(" %d", len(b))
	}
	return &fulmarhttpserver.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}
}

// readPayload reads the whole body of a request.
func readPayload(r *fulmarhttpserver.Request) ([]byte, error) {
	body, err := r.Payload.Open()
	if err != nil {
		return nil, err
	}
	defer body.Close()
	return io.ReadAll(body)
}

type fixture struct {
	*handler
	server  *fulmarhttpserver.Server
	address string
}

func start(limits fulmarhttpserver.Limits) *fixture { return startWith(limits, fulmarreserve.New(0)) }

// startWith is start with a bound on the memory for callers.
func startWith(limits fulmarhttpserver.Limits, memory fulmarhttpserver.Memory) *fixture {
	f := &fixture{handler: newHandler()}
	f.server = fulmarhttpserver.New(f.handler, func() fulmarhttpserver.Limits { return limits }, memory, slog.New(slog.DiscardHandler))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(f.server.Serve(ctx, listener)).To(Succeed())
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(done, 5*time.Second).Should(BeClosed())
	})
	return f
}

var limits = fulmarhttpserver.Limits{HeaderBytes: 4096, BodyBytes: 100 << 10, HeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second}

// caller is a TCP connection to the server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *caller {
	GinkgoHelper()
	c, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

func (c *caller) get(path string) {
	GinkgoHelper()
	c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
}

// receive reads a complete answer.
func (c *caller) receive() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func (c *caller) expect(status int, body string) *http.Response {
	GinkgoHelper()
	resp, text, err := c.receive()
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(status))
	if body != "" {
		Expect(text).To(Equal(body))
	}
	return resp
}

func (c *caller) expectClosed() {
	GinkgoHelper()
	_, err := c.reader.ReadByte()
	Expect(err).To(HaveOccurred())
}

var _ = Describe("Server", func() {
	It("serves several requests on a connection", func() {
		c := start(limits).dial()
		c.get("/a")
		c.expect(200, "/a")
		c.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
		c.expect(200, "/b 5")
		c.send("PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		c.expect(200, "/c 3")
	})

	// Guards against pipelined idempotent requests that are executed one after another.
	It("executes pipelined idempotent requests concurrently and answers in order", func() {
		f := start(limits)
		c := f.dial()
		c.get("/wait1")
		c.get("/wait2")
		c.get("/three")
		for range 3 {
			Eventually(f.started).Should(Receive())
		}
		close(f.gate("/wait2"))
		close(f.gate("/wait1"))
		c.expect(200, "/wait1")
		c.expect(200, "/wait2")
		c.expect(200, "/three")
	})

	// Guards against a request that is executed although an earlier answer closes the connection, after which its
	// caller sends it again.
	It("starts a request that is not idempotent only when the earlier ones are answered", func() {
		f := start(limits)
		c := f.dial()
		c.get("/wait1")
		c.send("POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		Eventually(f.started).Should(Receive(Equal("/wait1")))
		Consistently(f.started, 100*time.Millisecond).ShouldNot(Receive())
		f.server.Drain()
		close(f.gate("/wait1"))
		Expect(c.expect(200, "/wait1").Close).To(BeTrue())
		c.expectClosed()
		Consistently(f.started, 100*time.Millisecond).ShouldNot(Receive())
	})

	// Guards against requests that continue after their caller has closed the connection.
	It("cancels the requests of a caller that closes the connection", func() {
		f := start(limits)
		c := f.dial()
		c.get("/wait1")
		c.get("/wait2")
		Eventually(f.started).Should(Receive())
		Eventually(f.started).Should(Receive())
		c.Close()
		Eventually(f.canceled).Should(Receive())
		Eventually(f.canceled).Should(Receive())
	})

	// Guards against requests that continue after their caller has left a connection that it announced to close: eleven
	// requests of a day were sent to a target up to a second later.
	It("cancels the request of a caller that leaves after it announced to close the connection", func() {
		f := start(limits)
		c := f.dial()
		c.send("GET /wait1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		Eventually(f.started).Should(Receive())
		c.Close()
		Eventually(f.canceled).Should(Receive())
	})

	// Guards against a caller that leaves unnoticed while the answer to a request with a long body is awaited: the connection was
	// not read until then, and the target worked on.
	DescribeTable("cancels the request of a caller that leaves after it has sent a long body", func(head, body string) {
		f := start(limits)
		c := f.dial()
		c.send("POST /waitread " + head + "\r\nHost: h\r\n" + body)
		Eventually(f.started).Should(Receive())
		Consistently(f.canceled, 50*time.Millisecond).ShouldNot(Receive())
		c.Close()
		Eventually(f.canceled).Should(Receive())
	},
		Entry("with a length", "HTTP/1.1", "Content-Length: 90000\r\n\r\n"+strings.Repeat("x", 90000)),
		Entry("in chunks", "HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n15f90\r\n"+strings.Repeat("x", 90000)+"\r\n0\r\n\r\n"),
		Entry("by HTTP/1.0", "HTTP/1.0", "Content-Length: 90000\r\n\r\n"+strings.Repeat("x", 90000)),
	)

	// Guards against the request behind one with a long body being read as a part of it, or before it.
	It("serves requests behind one with a long body", func() {
		f := start(limits)
		c := f.dial()
		c.send("GET /waitread HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 90000))
		c.get("/two")
		Eventually(f.started).Should(Receive(Equal("/waitread")))
		Eventually(f.started).Should(Receive(Equal("/two")))
		close(f.gate("/waitread"))
		c.expect(200, "")
		c.expect(200, "/two")
	})

	// Guards against the rest of a body that stalled being read as a request.
	It("serves nothing behind a long body that did not arrive in time", func() {
		f := start(fulmarhttpserver.Limits{HeaderBytes: 1024, BodyBytes: 100 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second})
		f.answer = func(r *fulmarhttpserver.Request) *fulmarhttpserver.Answer {
			_, err := readPayload(r)
			return &fulmarhttpserver.Answer{Status: 200, Header: http.Header{}, Body: []byte(fmt.Sprint(err != nil))}
		}
		c := f.dial()
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 70000))
		c.expect(200, "true")
		_, _ = io.WriteString(c, "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n") // fails if the connection has ended
		c.expectClosed()
		Expect(f.served.Load()).To(BeEquivalentTo(1))
	})

	It("serves nothing that follows a request which announces to close the connection", func() {
		f := start(limits)
		c := f.dial()
		c.send("GET /wait1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(f.started).Should(Receive(Equal("/wait1")))
		Consistently(f.started, 100*time.Millisecond).ShouldNot(Receive())
		close(f.gate("/wait1"))
		Expect(c.expect(200, "/wait1").Close).To(BeTrue())
		c.expectClosed()
		Expect(f.served.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("rejects requests that are invalid or over the limits, and closes the connection",
		func(text string, status int) {
			f := start(fulmarhttpserver.Limits{HeaderBytes: 1024, BodyBytes: 1000, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second})
			c := f.dial()
			c.send(text)
			c.expect(status, "")
			c.expectClosed()
			Expect(f.served.Load()).To(BeZero())
		},
		Entry("a large head", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 8000)+"\r\n\r\n", 431),
		Entry("a slow head", "GET / HTTP/1.1\r\nHost:", 408),
		Entry("a large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413),
		Entry("a large chunked body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"+
			strings.Repeat("x", 2000)+"\r\n0\r\n\r\n", 413),
		Entry("a slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", 408),
		Entry("no Host header", "GET / HTTP/1.1\r\n\r\n", 400),
		Entry("a URL instead of a path", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
		Entry("two Content-Length headers", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", 400),
		Entry("no HTTP request", "hello\r\n\r\n", 400),
	)

	// Guards against a parser that needs a request in few pieces, and against a caller that holds up the others.
	DescribeTable("serves a request that arrives a byte at a time, and others meanwhile",
		func(text, want string) {
			f := start(limits)
			slow, other := f.dial(), f.dial()
			for i := range text {
				slow.send(text[i : i+1])
				if i%16 == 0 {
					other.get("/other")
					other.expect(200, "/other")
				}
			}
			slow.expect(200, want)
		},
		Entry("no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "/a"),
		Entry("a body with a length", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", "/b 5"),
		Entry("a body in chunks", "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "/c 5"),
	)

	// Guards against a part of a request that is served as a whole one: its caller may send it again.
	DescribeTable("answers no request that breaks off, at any byte, with a success",
		func(text string) {
			f := start(limits)
			for end := 1; end < len(text); end++ {
				c := f.dial()
				c.send(text[:end])
				Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
				if resp, _, err := c.receive(); err == nil {
					Expect(resp.StatusCode).To(BeNumerically(">=", 400), "after %q", text[:end])
				}
				c.expectClosed()
			}
			other := f.dial()
			other.get("/other")
			other.expect(200, "/other")
			Eventually(f.server.InFlight).Should(BeZero())
		},
		Entry("no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"),
		Entry("a body with a length", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"),
		Entry("a body in chunks", "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
	)

	It("sends 100 Continue to a request that expects it", func() {
		c := start(limits).dial()
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
		line, err := c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(HavePrefix("HTTP/1.1 100"))
		_, err = c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		c.send("ab")
		c.expect(200, "/a 2")
	})

	It("streams long request bodies", func() {
		c := start(limits).dial()
		c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 90000))
		c.expect(200, "/a 90000")
		c.get("/b")
		c.expect(200, "/b")
	})

	It("streams answers of unknown length", func() {
		f := start(limits)
		f.answer = func(*fulmarhttpserver.Request) *fulmarhttpserver.Answer {
			return &fulmarhttpserver.Answer{
				Status: 200, Header: http.Header{}, Body: []byte("ab"), Remainder: io.NopCloser(strings.NewReader("cd")), Length: -1,
			}
		}
		c := f.dial()
		c.get("/a")
		Expect(c.expect(200, "abcd").TransferEncoding).To(Equal([]string{"chunked"}))
		c.get("/b")
		c.expect(200, "abcd")
	})

	// Guards against an incomplete answer that looks complete.
	DescribeTable("resets the connection when an answer is incomplete",
		func(length int64) {
			f := start(limits)
			f.answer = func(*fulmarhttpserver.Request) *fulmarhttpserver.Answer {
				broken := io.MultiReader(strings.NewReader("cd"), errReader{})
				return &fulmarhttpserver.Answer{Status: 200, Header: http.Header{}, Body: []byte("ab"), Remainder: io.NopCloser(broken), Length: length}
			}
			c := f.dial()
			c.get("/a")
			_, _, err := c.receive()
			Expect(err).To(HaveOccurred())
		},
		Entry("of known length", int64(10)),
		Entry("of unknown length", int64(-1)),
	)

	// Guards against requests whose connections end without an answer because their target has not answered when the
	// daemon's shutdown ends: two downloads of a day were cut off in this way, 5.6 s after SIGTERM.
	It("answers the requests that it interrupts", func() {
		f := start(limits)
		c := f.dial()
		f.answerCanceled = true
		c.get("/wait1")
		Eventually(f.started).Should(Receive())
		f.server.Drain()
		f.server.Interrupt()
		Expect(c.expect(504, fulmarhttpserver.ErrInterrupted.Error()).Close).To(BeTrue())
		c.expectClosed()
		later := f.dial()
		later.get("/wait2")
		later.expect(504, "")
	})

	// Guards against a request that arrives after the interruption and is sent to a target, as its context ends a moment later.
	It("starts no request after the interruption with a context that has not ended", func() {
		const requests = 200
		f := start(limits)
		c := f.dial()
		f.server.Interrupt()
		for range requests {
			c.get("/a")
			c.expect(200, "")
			<-f.started
		}
		Expect(f.ended.Load()).To(BeEquivalentTo(requests))
	})

	// Guards against pipelined requests that are cut off without an answer by a shutdown: the answer to the first one closed
	// the connection, although targets were working on those behind it.
	It("answers all requests that it has started before a shutdown closes their connection", func() {
		f := start(limits)
		c := f.dial()
		for _, path := range []string{"/wait1", "/wait2", "/wait3"} {
			c.get(path)
			Eventually(f.started).Should(Receive(Equal(path)))
		}
		f.server.Drain()
		close(f.gate("/wait1"))
		Expect(c.expect(200, "/wait1").Close).To(BeFalse())
		c.get("/late")
		Consistently(f.started, 100*time.Millisecond).ShouldNot(Receive(), "requests after the first answer")
		close(f.gate("/wait2"))
		Expect(c.expect(200, "/wait2").Close).To(BeFalse())
		close(f.gate("/wait3"))
		Expect(c.expect(200, "/wait3").Close).To(BeTrue())
		c.expectClosed()
	})

	// Guards against an answer in the place of another one: of two pipelined requests the former was skipped when a shutdown
	// began, as it had not been started, and the latter was answered.
	It("serves a request that is not idempotent before a later one that it has started", func() {
		f := start(limits)
		c := f.dial()
		c.get("/wait1")
		c.send("POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		c.get("/wait3")
		for range 2 {
			Eventually(f.started).Should(Receive(HavePrefix("/wait")))
		}
		f.server.Drain()
		close(f.gate("/wait1"))
		close(f.gate("/wait3"))
		c.expect(200, "/wait1")
		c.expect(200, "/two")
		Expect(c.expect(200, "/wait3").Close).To(BeTrue())
		c.expectClosed()
	})

	// Guards against answers in the place of others, and requests that were started and get none, whatever a shutdown meets.
	It("answers exactly the requests that it has started, in order, when a shutdown begins", func() {
		const sent = 8
		for range 100 {
			f := start(limits)
			c := f.dial()
			for i := range sent {
				if method := []string{"GET", "GET", "POST"}[rand.IntN(3)]; method == "GET" {
					c.get(fmt.Sprint("/", i))
				} else {
					c.send(fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", i))
				}
			}
			time.Sleep(rand.N(200 * time.Microsecond))
			f.server.Drain()
			answered := 0
			for ; answered < sent; answered++ {
				resp, text, err := c.receive()
				if err != nil {
					break
				}
				Expect(text).To(Equal(fmt.Sprint("/", answered)))
				if resp.Close {
					answered++
					break
				}
			}
			Expect(int(f.served.Load())).To(Equal(answered))
			c.Close()
		}
	})

	It("closes idle connections on request", func() {
		f := start(limits)
		c := f.dial()
		c.get("/a")
		c.expect(200, "/a")
		Eventually(func() int { f.server.CloseIdle(); return f.server.Connections() }).Should(BeZero())
		c.expectClosed()
	})

	// Guards against a request that reaches a target but is not answered because its connection is closed as idle
	// during a shutdown of the daemon.
	It("answers every request that it starts while idle connections are closed", func() {
		f := start(limits)
		f.answer = func(*fulmarhttpserver.Request) *fulmarhttpserver.Answer {
			<-f.started
			return &fulmarhttpserver.Answer{Status: 200, Header: http.Header{}, Body: []byte("x")}
		}
		stop := make(chan struct{})
		var closer sync.WaitGroup
		closer.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					f.server.CloseIdle()
				}
			}
		})
		var answered atomic.Int64
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for range 200 {
					c := f.dial()
					if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						continue
					}
					if resp, _, err := c.receive(); err == nil && resp.StatusCode == 200 {
						answered.Add(1)
					}
					c.Close()
				}
			})
		}
		callers.Wait()
		close(stop)
		closer.Wait()
		Expect(f.served.Load()).To(Equal(answered.Load()))
	})
})

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
