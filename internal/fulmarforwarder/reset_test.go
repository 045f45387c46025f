package fulmarforwarder_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a caller that gets a part of an answer as the whole one, as the target reset the connection while the caller was
// still sending a long body, and against one that does not get an answer without a length that the target ended.
func TestAnswerEndsDuringUpload(t *testing.T) {
	const (
		size, first = 512 << 10, 256 << 10 // of the body, and of what is sent before the answer ends
		answer      = "a part"
		settleTime  = 20 * time.Millisecond // lets what the target has sent arrive
	)
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	closeOrderly := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(settleTime)
		reset(c) // as the rest of the request would do
	}
	for _, c := range []struct {
		name   string
		end    func(*net.TCPConn)
		status int
	}{
		{"reset", reset, http.StatusBadGateway},
		{"orderly close", closeOrderly, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ended := make(chan struct{})
			x := largeTarget(t, "x", largeHead("Connection: close"), func(conn net.Conn) {
				_, _ = io.WriteString(conn, answer)
				time.Sleep(settleTime)
				c.end(conn.(*net.TCPConn))
				close(ended)
			})
			s := serve(t, x)
			conn, err := net.Dial("tcp", s.address)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			body := bytes.Repeat([]byte("b"), size)
			_, err = fmt.Fprintf(conn, "POST /f/1 HTTP/1.1\r\nHost: h\r\nId: one\r\nContent-Length: %d\r\n\r\n%s", size, body[:first])
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(ended).Should(BeClosed())
			_, err = conn.Write(body[first:])
			g.Expect(err).NotTo(HaveOccurred())
			status, _, err := (&caller{conn, bufio.NewReader(conn)}).receive()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(c.status))
		})
	}
}
