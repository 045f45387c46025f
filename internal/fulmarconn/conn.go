package fulmarconn

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the kernel's state TCP_CLOSE, of a connection that has ended in both directions, as after a reset. One whose peer has
// only ended its own direction is in another state.
const tcpClose = 7

// Conn is a TCP connection whose reads return io.EOF only if the peer has ended its direction; see net.Conn for the rest.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during each write
	lost    error      // of the first write that found the connection lost; guarded by writing
}

// New returns a Conn that takes over c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write records the error if it finds the connection lost.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.lost == nil && isLoss(err) {
		c.lost = errors.Wrap(err, "fulmarconn: connection lost during a write")
	}
	return n, err
}

// isLoss reports whether the error of a write is that of a lost connection, and not that of a deadline or of a close here. EPIPE is
// the error of a reset that follows the end of the peer's direction, so that all that it has sent was received.
func isLoss(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}

// Read returns the error of a write that found the connection lost in place of io.EOF.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if lost := c.lostInWrite(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// lostInWrite returns the error of a write that found the connection lost, nil if there was none.
func (c *Conn) lostInWrite() error {
	if !c.writing.TryLock() {
		// The write under way may have got the error. It returns at once unless the connection is still open for writes, on which it
		// may wait for the peer.
		if !c.isClosed() {
			return nil
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.lost
}

// isClosed reports whether the connection has ended in both directions.
func (c *Conn) isClosed() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State == tcpClose
	})
	return closed || err != nil // Control fails on a connection that was closed here
}
