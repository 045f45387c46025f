package fulmarlink

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer holds the head of an answer and most small bodies, in bytes.
const readBuffer = 4 << 10

// conn is a connection to a target.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	used    time.Time     // end of the last exchange
	idle    time.Duration // longest time that it may be kept without use
	written bool          // a byte of the present request may have been sent
}

// dial opens a connection whose unacknowledged data fails it after lost.
func dial(ctx context.Context, address string, timeout, lost time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(lost.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	return &conn{Conn: c, raw: raw, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// Write notes that bytes may have been sent before it sends them.
func (c *conn) Write(b []byte) (int, error) {
	c.written = true
	return c.Conn.Write(b)
}

// usable reports whether an idle connection is open and has no unread bytes.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// reset closes the connection so that bytes still on their way are dropped.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the close that follows is all the more certain without it
	}
	c.Close()
}

// keepAlive returns the idle time that a Keep-Alive header states, or ok false.
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
