package fulmarlink

import (
	"bufio"
	"context"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconn"
	"github.com/fulmarbend/fulmarbend/internal/fulmaridset"
)

const (
	// readBuffer is large enough for the head of an answer and most small bodies, in bytes.
	readBuffer = 4 << 10
	// laneReadBuffer is the same for the connections of a lane, whose answers are a head of some lines. A daemon that leads keeps one
	// of them to each of thousands of targets.
	laneReadBuffer = 512
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	tcp         *net.TCPConn     // the same without the checks of Conn
	number      int64            // counts the connections of the pool
	lane        string           // of the requests that it may carry
	exchanges   int              // requests sent on it, with the current one
	carried     *fulmaridset.Set // ids of these requests
	raw         syscall.RawConn
	reader      *bufio.Reader
	usedAt      time.Time        // end of the last exchange
	idleTimeout time.Duration    // longest time that it may be idle
	written     bool             // a byte of the current request may have been sent
	sendStopped atomic.Bool      // nothing more of the current request is to be sent
	tokens      *fulmaridset.Set // values of the token header of all answers
	readLimit   int              // bytes that may still be read, noReadLimit for any number
	head        headScanner      // of the head that is being read
}

// noReadLimit permits any number of bytes to be read.
const noReadLimit = math.MaxInt

// Read reads at most readLimit bytes in total.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readLimit)])
	if c.readLimit != noReadLimit { // reading a head
		c.readLimit -= n
		c.head.scan(b[:n])
	}
	return n, err
}

// dial opens a connection, without a buffer for answers, that fails when sent data stays unacknowledged for ackTimeout.
func dial(ctx context.Context, address string, timeout, ackTimeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	out := &conn{Conn: fulmarconn.New(tcp), tcp: tcp, raw: raw, readLimit: noReadLimit, carried: fulmaridset.New(maxRequests), tokens: fulmaridset.New(maxRequests)}
	return out, nil
}

// setLane assigns the connection to a lane, empty for none, before its first use.
func (c *conn) setLane(lane string) {
	c.lane = lane
	size := readBuffer
	if lane != "" {
		size = laneReadBuffer
	}
	c.reader = bufio.NewReaderSize(c, size)
}

// Write sets written before it sends b, unless sending was stopped.
func (c *conn) Write(b []byte) (int, error) {
	if c.sendStopped.Load() {
		return 0, errSendStopped
	}
	c.written = true
	return c.Conn.Write(b)
}

// accepted waits on a new connection and reports whether the target has not reset or closed it by then.
func (c *conn) accepted(wait time.Duration) bool {
	if c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// usable reports whether an idle connection is open and has no unread bytes.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	noData := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// reset closes the connection and drops the data that was not sent yet.
func (c *conn) reset() {
	_ = c.tcp.SetLinger(0) // the connection is closed below in any case
	c.Close()
}

// keepAlive returns the timeout of a Keep-Alive header, and whether the header has one.
func keepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
