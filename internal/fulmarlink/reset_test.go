package fulmarlink_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
)

const (
	part = "the first part"
	// settleTime lets what a target has sent arrive before it goes on.
	settleTime = 50 * time.Millisecond
)

// endingTarget returns the address of a target that answers a request before it has read its body, and ends the answer by end.
func endingTarget(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	t.Helper()
	return earlyTarget(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, answer)
		time.Sleep(settleTime)
		end(c.(*net.TCPConn))
	})
}

// upload sends a long body. The answer can be read until the test ends.
func upload(t *testing.T, address string, length int64) (*fulmarlink.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	t.Cleanup(cancel)
	return newPool(t).Do(ctx, address, streamed(struct{ io.Reader }{bytes.NewReader(make([]byte, streamedSize))}, length))
}

var uploads = []struct {
	name   string
	length int64
}{{"upload with a length", streamedSize}, {"upload in chunks", -1}}

// Guards against a part of an answer that passes as the whole one, as it has no length and its target reset the connection during
// the upload: a write of the upload gets the reset, and then the connection reads as if the target had closed it.
func TestAnswerReset(t *testing.T) {
	for _, u := range uploads {
		for _, c := range []struct{ name, answer string }{
			{"served", "HTTP/1.1 200 x\r\nId: one\r\n\r\n" + part},
			{"served, streamed", "HTTP/1.1 200 x\r\nId: one\r\n\r\n" + strings.Repeat(part, 100)},
			{"served, without a body yet", "HTTP/1.1 200 x\r\nId: one\r\n\r\n"},
			{"failed", "HTTP/1.1 500 x\r\nId: one\r\n\r\n" + part},
		} {
			t.Run(u.name+", "+c.name, func(t *testing.T) {
				g := NewWithT(t)
				address := endingTarget(t, c.answer, func(conn *net.TCPConn) {
					_ = conn.SetLinger(0)
					_ = conn.Close()
				})
				began := time.Now()
				a, err := upload(t, address, u.length)
				body := ""
				if err == nil {
					body, err = readWhole(a)
				}
				g.Expect(err).To(HaveOccurred(), body)
				g.Expect(time.Since(began)).To(BeNumerically("<", answerTimeout/2), "the reset is noticed, not the deadline")
			})
		}
	}
}

// Guards against an answer without a length that is lost although its target ended it with an orderly close. The target resets the
// connection afterwards, as the rest of the upload arrives.
func TestAnswerEndedDuringUpload(t *testing.T) {
	for _, u := range uploads {
		for _, c := range []struct {
			name string
			body string
		}{{"in memory", part}, {"streamed", strings.Repeat(part, 100)}} {
			t.Run(u.name+", "+c.name, func(t *testing.T) {
				g := NewWithT(t)
				address := endingTarget(t, "HTTP/1.1 200 x\r\nId: one\r\n\r\n"+c.body, func(conn *net.TCPConn) {
					_ = conn.CloseWrite()
					time.Sleep(settleTime)
					_ = conn.Close()
				})
				a, err := upload(t, address, u.length)
				expectBody(g, a, err, c.body)
				g.Expect(a.Status).To(Equal(http.StatusOK))
			})
		}
	}
}
