package fulmarconn_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconn"
)

const (
	sent       = "sent before the end"
	settleTime = 20 * time.Millisecond // lets what the peer has sent arrive
	timeout    = 5 * time.Second
)

// connect returns a connection and its peer, which has sent some bytes.
func connect(t *testing.T) (*fulmarconn.Conn, *net.TCPConn) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(timeout))).To(Succeed())
	peer, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { peer.Close() })
	_, err = io.WriteString(peer, sent)
	g.Expect(err).NotTo(HaveOccurred())
	return fulmarconn.New(c), peer.(*net.TCPConn)
}

// writeToEnd writes until it fails.
func writeToEnd(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

func expectEnd(t *testing.T, c net.Conn, orderly bool) {
	t.Helper()
	g := NewWithT(t)
	b, err := io.ReadAll(c)
	g.Expect(string(b)).To(Equal(sent))
	if orderly {
		g.Expect(err).NotTo(HaveOccurred())
	} else {
		g.Expect(err).To(MatchError(syscall.ECONNRESET))
	}
}

// Guards against a reset that a write has got and that reads report as an orderly close, and against the opposite.
func TestReadAfterLostWrite(t *testing.T) {
	reset := func(peer *net.TCPConn) {
		_ = peer.SetLinger(0)
		_ = peer.Close()
	}
	for _, c := range []struct {
		name    string
		end     func(peer *net.TCPConn)
		orderly bool
	}{
		{"reset", reset, false},
		{"end, then reset", func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(settleTime)
			reset(peer)
		}, true},
	} {
		for name, before := range map[string]time.Duration{"write waits": settleTime, "write follows": 0} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				conn, peer := connect(t)
				written := make(chan error, 1)
				if before > 0 {
					go func() { written <- writeToEnd(conn) }()
					time.Sleep(before)
					c.end(peer)
				} else {
					c.end(peer)
					time.Sleep(settleTime)
					written <- writeToEnd(conn)
				}
				g.Eventually(written, timeout).Should(Receive(HaveOccurred()))
				expectEnd(t, conn, c.orderly)
			})
		}
	}
}

// Guards against a read that gets the end of the connection while the write that got the reset has not returned yet.
func TestReadBesideLostWrite(t *testing.T) {
	for range 200 {
		conn, peer := connect(t)
		written := make(chan error, 1)
		go func() { written <- writeToEnd(conn) }()
		time.Sleep(time.Millisecond)
		_ = peer.SetLinger(0)
		_ = peer.Close()
		expectEnd(t, conn, false)
		NewWithT(t).Eventually(written).Should(Receive(HaveOccurred()))
	}
}

// Guards against an end of the peer's direction that is noticed only when the peer has read what is being written.
func TestEndBesideBlockedWrite(t *testing.T) {
	g := NewWithT(t)
	conn, peer := connect(t)
	written := make(chan error, 1)
	go func() { written <- writeToEnd(conn) }()
	time.Sleep(settleTime)
	g.Expect(peer.CloseWrite()).To(Succeed())
	expectEnd(t, conn, true)
	g.Expect(written).NotTo(Receive())
	conn.Close()
	g.Eventually(written).Should(Receive())
}
