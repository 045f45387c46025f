package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// consumer sends requests one after another, as the consumers of PROTOCOL.md do: over a kept connection, to the daemon that the
// platform's entry has chosen for it. After it has left, or if its connection has ended, it opens a new one.
type consumer struct {
	name     string
	daemons  []*daemon
	first    int // of daemons; a retry goes to the next one
	path     string
	key      int // -1 for none
	added    bool
	period   time.Duration
	deadline time.Duration
	leaves   func() time.Duration // how long it waits at this moment, zero for its deadline
	record   *record
	address  net.IP // each consumer has its own
	header   string // further header lines
	once     bool   // it doesn't retry

	conn   net.Conn
	reader *bufio.Reader
	on     int
	sent   int
}

// run sends requests until stop is closed.
func (c *consumer) run(stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	defer c.close()
	for {
		began := time.Now()
		c.request()
		select {
		case <-time.After(max(c.period-time.Since(began), 10*time.Millisecond)):
		case <-stop:
			return
		}
	}
}

func (c *consumer) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends a safe request, and once more to another daemon if it fails and time is left.
func (c *consumer) request() {
	end := time.Now().Add(c.deadline)
	for attempt := 0; attempt < 2; attempt++ {
		if attempt > 0 {
			c.close()
			c.on = c.first + 1
		} else if c.conn == nil {
			c.on = c.first
		}
		status, retryAfter, left := c.attempt(end)
		if left || c.once || status == http.StatusOK {
			return
		}
		if retryAfter > 0 {
			if retryAfter > time.Until(end)/3 {
				return // longer than consumers honour it
			}
			time.Sleep(retryAfter)
		}
		if time.Until(end) < 50*time.Millisecond {
			return
		}
	}
}

// attempt sends one consumer attempt. left reports that the consumer has left before its time budget.
func (c *consumer) attempt(end time.Time) (status int, retryAfter time.Duration, left bool) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	x := c.record.sent(id, c.path, c.added)
	wait := time.Until(end)
	if l := c.leaves(); l > 0 && l < wait {
		wait, left = l, true
	}
	status, retryAfter, err := c.exchange(id, time.Until(end), wait)
	switch {
	case err == nil:
		c.record.answered(x, strconv.Itoa(status), status == http.StatusOK)
		return status, retryAfter, false
	case errors.Is(err, os.ErrDeadlineExceeded) && left:
		c.record.answered(x, "left", false)
		c.close()
		return 0, 0, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.record.answered(x, "deadline", false)
	default:
		c.record.answered(x, "no answer", false)
	}
	c.close()
	return 0, 0, false
}

func (c *consumer) exchange(id string, budget, wait time.Duration) (status int, retryAfter time.Duration, err error) {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: c.address}}
		conn, err := dialer.Dial("tcp", c.daemons[c.on%len(c.daemons)].front())
		if err != nil {
			return 0, 0, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	key := ""
	if c.key >= 0 {
		key = "X-Shard-Key: " + strconv.Itoa(c.key) + "\r\n"
	}
	if err := c.conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return 0, 0, err
	}
	_, err = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s\r\n", c.path, host, id, budget.Milliseconds(), key, c.header)
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	if resp.Close {
		c.close()
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Signature") != "of "+id {
		return 0, 0, errors.New("success without the signature of the upstream")
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}
