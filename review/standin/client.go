package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// sent is one request of a consumer, and its answer.
type sent struct {
	at              time.Time
	id, method, uri string
	bodySHA256      string
	bodyBytes       int
	took            time.Duration
	status          int // 0 without an answer
	signature       string
	err             error
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request over a new connection and reads the answer. The body is sent in chunks of at most chunk bytes, or
// with a length if chunk is 0.
func send(address, host, method, uri string, body []byte, chunk int, deadline time.Duration) (x sent) {
	sum := sha256.Sum256(body)
	x = sent{at: time.Now(), id: randomID(), method: method, uri: uri, bodySHA256: hex.EncodeToString(sum[:]), bodyBytes: len(body)}
	defer func() { x.took = time.Since(x.at) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		x.err = err
		return x
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunk > 0 {
		framing = "Transfer-Encoding: chunked"
	}
	w := bufio.NewWriter(c)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n", method, uri, host, x.id, deadline.Milliseconds(), framing)
	for rest := body; chunk > 0 && len(rest) > 0; {
		n := min(chunk, len(rest))
		fmt.Fprintf(w, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	if chunk > 0 {
		io.WriteString(w, "0\r\n\r\n")
	} else {
		w.Write(body)
	}
	if x.err = w.Flush(); x.err != nil {
		return x
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		x.err = err
		return x
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		x.err = err
		return x
	}
	x.status, x.signature = resp.StatusCode, resp.Header.Get("X-Response-Signature")
	return x
}
