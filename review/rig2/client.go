package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a consumer got for one request.
type answer struct {
	status     int // 0 without a complete answer
	header     http.Header
	body       string
	err        error
	retryAfter string
}

// consumer keeps one connection to a daemon.
type consumer struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one request and reads its answer.
func (c *consumer) do(method, path, id, key string, deadline time.Duration, body []byte) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "X-Shard-Key: %s\r\n", key)
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return answer{err: err}
	}
	if resp.Close {
		c.close()
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text)}
}

func (c *consumer) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// tally counts answers by status.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func (t *tally) add(k string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == nil {
		t.n = map[string]int{}
	}
	t.n[k]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimPrefix(fmt.Sprint(t.n), "map")
}
