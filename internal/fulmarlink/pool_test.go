package fulmarlink_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
)

// scriptedTarget answers the nth request of each connection with the nth of its answers and begins again after the last
// one. An answer is the raw text that is sent, in which ID stands for the request id; an empty one closes the connection.
type scriptedTarget struct {
	net.Listener
	answers []string
	mu      sync.Mutex
	conns   int      // number of accepted connections
	bodies  []string // bodies of the received requests
}

// accept hands each connection to serve in a goroutine of its own until the test ends.
func accept(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

func startTarget(t *testing.T, answers ...string) *scriptedTarget {
	t.Helper()
	s := &scriptedTarget{answers: answers}
	s.Listener = accept(t, func(c net.Conn) {
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		s.serve(c)
	})
	return s
}

func (s *scriptedTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(b))
		s.mu.Unlock()
		answer := s.answers[i%len(s.answers)]
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(answer, "ID", req.Header.Get("Id"))); err != nil {
			return
		}
	}
}

func (s *scriptedTarget) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func newPool(t *testing.T) *fulmarlink.Pool {
	t.Helper()
	return newPoolWithMargin(t, time.Millisecond)
}

// newPoolWithMargin returns a pool that waits for margin for the reset of a new connection.
func newPoolWithMargin(t *testing.T, margin time.Duration) *fulmarlink.Pool {
	t.Helper()
	p := fulmarlink.New(fulmarlink.Settings{
		DialTimeout: time.Second, AcceptMargin: margin, AckTimeout: time.Second, IdleTimeout: time.Minute, BodyLimit: 64, RequestIDHeader: "Id",
	})
	t.Cleanup(p.Close)
	return p
}

// resetMargin is long enough for a reset on a busy machine.
const resetMargin = 2 * time.Second

func request(id, body string) *fulmarlink.Request {
	return &fulmarlink.Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, ID: id,
		Body: strings.NewReader(body), Length: int64(len(body)),
	}
}

func expectBody(g Gomega, a *fulmarlink.Answer, err error, body string) {
	g.Expect(err).NotTo(HaveOccurred())
	text, err := readWhole(a)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(body))
}

// readWhole returns the whole body of an answer.
func readWhole(a *fulmarlink.Answer) (string, error) {
	if a.Remainder == nil {
		return string(a.Body), nil
	}
	b, err := io.ReadAll(a.Remainder)
	return string(a.Body) + string(b), err
}

const okAnswer = "HTTP/1.1 200 x\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"

// Guards against answers of other requests, incomplete answers that look complete, and the reuse of a connection with
// unread bytes.
func TestAnswers(t *testing.T) {
	long := strings.Repeat("a", 100)
	for _, c := range []struct {
		name, answer, body string
		broken             bool
		conns              int // number of connections that two requests open
	}{
		{"ordinary", okAnswer, "ok", false, 1},
		{"interim answers first", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 100 x\r\n\r\n" + okAnswer, "ok", false, 1},
		{"late answer to an earlier request first", "HTTP/1.1 200 x\r\nId: old\r\nContent-Length: 3\r\n\r\nold" + okAnswer, "ok", false, 1},
		{"bytes after the answer", okAnswer + "HTTP/1.1 200 x\r\nId: ID\r\nContent-Length: 1\r\n\r\nx", "ok", false, 2},
		{"target announces that it closes", "HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false, 2},
		{"keep-alive timeout too short for reuse", "HTTP/1.1 200 x\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", "ok", false, 2},
		{"long, streamed", "HTTP/1.1 200 x\r\nId: ID\r\nContent-Length: 100\r\n\r\n" + long, long, false, 1},
		{"without an id", "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok", "ok", false, 2},
		{"chunked", "HTTP/1.1 200 x\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, 1},
		{"no answer", "", "", true, 2},
		{"not in the protocol", "hello\r\n\r\n", "", true, 2},
		// Guards against a number that is no status: 000 counted as an interim answer, 600 and 999 were returned.
		{"status 000", "HTTP/1.1 000 x\r\nId: ID\r\nContent-Length: 0\r\n\r\n" + okAnswer, "", true, 2},
		{"status 099", "HTTP/1.1 099 x\r\nId: ID\r\nContent-Length: 0\r\n\r\n" + okAnswer, "", true, 2},
		{"status 600", "HTTP/1.1 600 x\r\nId: ID\r\nContent-Length: 2\r\n\r\nno", "", true, 2},
		{"status 999", "HTTP/1.1 999 x\r\nId: ID\r\nContent-Length: 2\r\n\r\nno", "", true, 2},
		// Guards against an answer with a line that is no header field: it was dropped although it was to frame the body, or became a
		// part of the value before it.
		{"space in a field name", "HTTP/1.1 200 x\r\nId: ID\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"space behind a field name", "HTTP/1.1 200 x\r\nId: ID\r\nBad : x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"space behind the name of the length", "HTTP/1.1 200 x\r\nId: ID\r\nConnection: close\r\nContent-Length : 2\r\n\r\nokno", "", true, 2},
		{"space behind the name of the coding", "HTTP/1.1 200 x\r\nId: ID\r\nContent-Length: 12\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", true, 2},
		{"space in a field name of an interim answer", "HTTP/1.1 103 x\r\nBad Name: x\r\n\r\n" + okAnswer, "", true, 2},
		{"tab in a field name", "HTTP/1.1 200 x\r\nId: ID\r\nBad\tName: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"control byte in a field name", "HTTP/1.1 200 x\r\nId: ID\r\nBad\x01Name: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"NUL in a field name", "HTTP/1.1 200 x\r\nId: ID\r\nBad\x00: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"DEL in a field name", "HTTP/1.1 200 x\r\nId: ID\r\nBad\x7f: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"CR in a field name", "HTTP/1.1 200 x\r\nId: ID\r\nBad\rName: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"line that starts with a space", "HTTP/1.1 200 x\r\nId: ID\r\nGood: x\r\n Bad: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"line that starts with a tab, without CR", "HTTP/1.1 200 x\nId: ID\nGood: x\n\tBad: x\nContent-Length: 2\n\nok", "", true, 2},
		{"line that starts with a space, behind an interim answer", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x\r\nId: ID\r\n Bad: x\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"lines of the body that start with a space", "HTTP/1.1 200 x\r\nId: ID\r\nContent-Length: 6\r\n\r\n o\n k\n", " o\n k\n", false, 1},
		{"first line that starts with a space", "HTTP/1.1 200 x\r\n Bad: x\r\nId: ID\r\nContent-Length: 2\r\n\r\nok", "", true, 2},
		{"only answers to other requests", strings.Repeat("HTTP/1.1 200 x\r\nId: old\r\nContent-Length: 0\r\n\r\n", 20), "", true, 2},
		{"chunk cut off", "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok", "", true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s, p := startTarget(t, c.answer), newPool(t)
			ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
			defer cancel()
			for _, id := range []string{"one", "two"} {
				a, err := p.Do(ctx, s.Addr().String(), request(id, "body"))
				if c.broken {
					g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
					g.Expect(ctx.Err()).NotTo(HaveOccurred())
					continue
				}
				expectBody(g, a, err, c.body)
				time.Sleep(10 * time.Millisecond) // lets the bytes after the answer arrive
			}
			g.Expect(s.connections()).To(Equal(c.conns))
		})
	}
}

// Guards against a late answer whose unread rest, or which itself, is taken for the answer to the next request.
func TestLateAnswers(t *testing.T) {
	inner := "HTTP/1.1 200 x\r\nId: two\r\nContent-Length: 4\r\n\r\nevil"
	lateBody := func(size int) string {
		body := strings.Repeat(inner, size/len(inner)+1)
		return fmt.Sprintf("HTTP/1.1 200 x\r\nId: old\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, c := range []struct {
		name, second string
		broken       bool
	}{
		{"longer than the body limit", lateBody(200) + okAnswer, false},
		{"too long to be skipped", lateBody(5<<20) + okAnswer, true},
		{"without an id, where answers have one", "HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nevil" + okAnswer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s, p := startTarget(t, okAnswer, c.second), newPool(t)
			a, err := p.Do(t.Context(), s.Addr().String(), request("one", ""))
			expectBody(g, a, err, "ok")
			a, err = p.Do(t.Context(), s.Addr().String(), request("two", ""))
			if c.broken {
				g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
				return
			}
			expectBody(g, a, err, "ok")
		})
	}
}

// Guards against a refusal without an id that a target writes once more on a connection whose answers bear none: it passed as
// the answer to the next request, which ran.
func TestRepeatedRefusalWithoutID(t *testing.T) {
	const refusal = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct{ name, first string }{
		{"after the refusal", refusal},
		{"after an answer", "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			// A target writes the copy when it receives the next request, so that it cannot be seen before that is sent.
			s, p := startTarget(t, c.first, refusal+okAnswer), newPool(t)
			_, err := p.Do(t.Context(), s.Addr().String(), request("one", ""))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = p.Do(t.Context(), s.Addr().String(), request("two", ""))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.connections()).To(Equal(2), "the second request must not be sent where a copy may come")
		})
	}
}

// Guards against the body of a late answer being read as the answer to a HEAD request, which has none.
func TestLateAnswerBeforeHead(t *testing.T) {
	g := NewWithT(t)
	inner := "HTTP/1.1 503 x\r\nId: one\r\nContent-Length: 0\r\n\r\n"
	late := fmt.Sprintf("HTTP/1.1 200 x\r\nId: old\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)
	s, p := startTarget(t, late+"HTTP/1.1 200 x\r\nId: one\r\nContent-Length: 2\r\n\r\n"), newPool(t)
	r := request("one", "")
	r.Method, r.Body = http.MethodHead, nil
	_, err := p.Do(t.Context(), s.Addr().String(), r)
	g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
}

// Guards against the late answer to another request being taken for the answer to a request without an id.
func TestLateAnswerWithoutOwnID(t *testing.T) {
	g := NewWithT(t)
	s, p := startTarget(t, "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 503 x\r\nId: old\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok"), newPool(t)
	for range 2 {
		a, err := p.Do(t.Context(), s.Addr().String(), request("", ""))
		expectBody(g, a, err, "ok")
	}
	g.Expect(s.connections()).To(Equal(1))
}

// Guards against an answer that looks whole although its target closed the connection within its head.
func TestHeadCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 x\r\nId: one\r\nContent-Length: 12\r\nConnection: close\r\n\r\n"
	for n := range len(head) {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, head[:n])
				}
			}()
			_, err = newPool(t).Do(t.Context(), l.Addr().String(), request("one", ""))
			g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
		})
	}
}

// Guards against a target that sends bytes that are no answer without an end, which would fill the memory of the daemon
// until the deadline of the request.
func TestAnswerWithoutEnd(t *testing.T) {
	for _, c := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header", "HTTP/1.1 200 x\r\nA: ", "x"},
		{"headers", "HTTP/1.1 200 x\r\n", "A: x\r\n"},
		{"interim answers", "", "HTTP/1.1 100 x\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 x\r\nId: old\r\nContent-Length: 0\r\n\r\n"},
		{"body of an answer to another request", "HTTP/1.1 200 x\r\nId: old\r\n\r\n", "x"},
		{"chunk of an answer to another request", "HTTP/1.1 200 x\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
		{"no answer", "", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			sent := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				n, _ := io.WriteString(conn, c.start)
				piece := strings.Repeat(c.repeated, 8<<10/len(c.repeated)+1)
				for err == nil && n < 1<<30 {
					var m int
					m, err = io.WriteString(conn, piece)
					n += m
				}
				sent <- n
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = newPool(t).Do(ctx, l.Addr().String(), request("one", ""))
			g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
			// What the target could send beyond the limits lies in the buffers of the kernel.
			g.Eventually(sent, "5s").Should(Receive(BeNumerically("<", 24<<20)))
		})
	}
}

// Guards against an incomplete body that looks complete when the connection is closed.
func TestShortAnswer(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nok")
		}
		c.Close()
	}()
	_, err = newPool(t).Do(t.Context(), l.Addr().String(), request("one", ""))
	g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
}

// Guards against a request that is reported as unsent although it may have been executed, and vice versa.
func TestUnsentOrBroken(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		l.Close()
		_, err = newPool(t).Do(t.Context(), l.Addr().String(), request("one", ""))
		g.Expect(err).To(MatchError(fulmarlink.ErrUnsent))
	})
	t.Run("reuse only, without an idle connection", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, okAnswer), newPool(t)
		r := request("two", "") // the id of the request between would rule its connection out
		r.ReuseOnly = true
		_, err := p.Do(t.Context(), s.Addr().String(), r)
		g.Expect(err).To(MatchError(fulmarlink.ErrUnsent))
		a, err := p.Do(t.Context(), s.Addr().String(), request("one", ""))
		expectBody(g, a, err, "ok")
		a, err = p.Do(t.Context(), s.Addr().String(), r)
		expectBody(g, a, err, "ok")
		g.Expect(s.connections()).To(Equal(1))
	})
	t.Run("connection closed by the target", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, okAnswer, ""), newPool(t)
		_, err := p.Do(t.Context(), s.Addr().String(), request("one", ""))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = p.Do(t.Context(), s.Addr().String(), request("two", ""))
		g.Expect(err).To(MatchError(fulmarlink.ErrBroken)) // the target read it and closed the connection
		g.Expect(p.Open(s.Addr().String())).To(BeZero())
	})
}

// Guards against a target that continues to work on a cancelled request.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	p := newPool(t)
	_, err = p.Do(ctx, l.Addr().String(), request("one", ""))
	g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
	g.Eventually(closed, "1s").Should(BeClosed())
	g.Expect(p.Open(l.Addr().String())).To(BeZero())
}

// Guards against request bodies that are modified, split or merged.
func TestRequestBodies(t *testing.T) {
	g := NewWithT(t)
	s, p := startTarget(t, okAnswer), newPool(t)
	for i, length := range []int64{5, -1} {
		r := request(fmt.Sprint(i), "hello")
		r.Length = length
		a, err := p.Do(t.Context(), s.Addr().String(), r)
		expectBody(g, a, err, "ok")
	}
	r := request("short", "hello")
	r.Length = 9
	_, err := p.Do(t.Context(), s.Addr().String(), r)
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.bodies).To(Equal([]string{"hello", "hello"}))
}

// Guards against idle connections that are never closed.
func TestCloseExpired(t *testing.T) {
	g := NewWithT(t)
	s, p := startTarget(t, okAnswer), newPool(t)
	_, err := p.Do(t.Context(), s.Addr().String(), request("one", ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Idle(s.Addr().String())).To(Equal(1))
	p.CloseExpired(time.Now().Add(time.Hour))
	g.Expect(p.Idle(s.Addr().String())).To(BeZero())
	g.Expect(p.Open(s.Addr().String())).To(BeZero())
}

// Guards against idle connections that exhaust a target's connection limit for all daemons.
func TestMaxIdle(t *testing.T) {
	g := NewWithT(t)
	s, p := startTarget(t, "HTTP/1.1 200 x\r\nId: ID\r\nContent-Length: 100\r\n\r\n"+strings.Repeat("a", 100)), newPool(t)
	var answers []*fulmarlink.Answer
	for range 3 {
		r := request("one", "")
		r.MaxIdle = 2
		a, err := p.Do(t.Context(), s.Addr().String(), r)
		g.Expect(err).NotTo(HaveOccurred())
		answers = append(answers, a)
	}
	g.Expect(p.Open(s.Addr().String())).To(Equal(3))
	for _, a := range answers {
		expectBody(g, a, nil, strings.Repeat("a", 100))
	}
	g.Expect(p.Open(s.Addr().String())).To(Equal(2))
}

// limitedTarget accepts connections, serves the first ones up to limit and resets the others at once.
func limitedTarget(t *testing.T, limit int, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n < limit {
				go serve(c)
				continue
			}
			_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
			c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against requests that are written to a connection which the target resets because it has too many: nobody can
// tell whether they ran, so their callers got 502 and could not try again. At a fleet of 120 daemons these were 4,142
// requests of a day.
func TestConnectionLimit(t *testing.T) {
	t.Run("second connection", func(t *testing.T) {
		g := NewWithT(t)
		busy := make(chan struct{})
		address := limitedTarget(t, 1, func(c net.Conn) {
			defer c.Close()
			_, _ = c.Read(make([]byte, 1)) // the request may still be unsent when the connection is accepted
			close(busy)
			_, _ = io.Copy(io.Discard, c)
		})
		p := newPoolWithMargin(t, resetMargin)
		ctx, cancel := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, err := p.Do(ctx, address, request("one", ""))
			first <- err
		}()
		<-busy
		_, err := p.Do(t.Context(), address, request("two", ""))
		g.Expect(err).To(MatchError(fulmarlink.ErrNoRoom))
		g.Expect(err).To(MatchError(fulmarlink.ErrUnsent))
		g.Expect(p.Open(address)).To(Equal(1))
		cancel()
		g.Expect(<-first).To(MatchError(fulmarlink.ErrBroken))
	})
	t.Run("after a reset", func(t *testing.T) {
		g := NewWithT(t)
		address := limitedTarget(t, 0, nil)
		p := newPoolWithMargin(t, resetMargin)
		// The first request may find the reset before or after it is written.
		_, err := p.Do(t.Context(), address, request("one", ""))
		g.Expect(err).To(HaveOccurred())
		for range 5 {
			_, err = p.Do(t.Context(), address, request("two", ""))
			g.Expect(err).To(MatchError(fulmarlink.ErrNoRoom))
		}
		g.Expect(p.Open(address)).To(BeZero())
	})
	t.Run("room", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, "HTTP/1.1 200 x\r\nId: ID\r\nContent-Length: 100\r\n\r\n"+strings.Repeat("a", 100)), newPool(t)
		var answers []*fulmarlink.Answer
		for range 3 {
			a, err := p.Do(t.Context(), s.Addr().String(), request("one", ""))
			g.Expect(err).NotTo(HaveOccurred())
			answers = append(answers, a) // not read to its end, so that the connection stays in use
		}
		for _, a := range answers {
			expectBody(g, a, nil, strings.Repeat("a", 100))
		}
	})
}

// Guards against answers of which the log cannot tell that they came on one connection, or behind answers to other requests.
func TestPlace(t *testing.T) {
	g := NewWithT(t)
	const lateAnswer = "HTTP/1.1 503 x\r\nId: old\r\nContent-Length: 0\r\n\r\n"
	s, other, p := startTarget(t, okAnswer, lateAnswer+lateAnswer+okAnswer), startTarget(t, okAnswer), newPool(t)
	for _, c := range []struct {
		id     string
		target *scriptedTarget
		place  fulmarlink.Place
	}{
		{"one", s, fulmarlink.Place{Connection: 1, Exchange: 1}},
		{"two", s, fulmarlink.Place{Connection: 1, Exchange: 2, Late: 2}},
		{"three", other, fulmarlink.Place{Connection: 2, Exchange: 1}},
	} {
		a, err := p.Do(t.Context(), c.target.Addr().String(), request(c.id, ""))
		expectBody(g, a, err, "ok")
		g.Expect(a.Place).To(Equal(c.place))
	}
}
