package fulmartransport_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
)

// rawServer answers each request with the text, until the test ends.
func rawServer(t *testing.T, text string) string {
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
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against an answer whose status is none, which was recorded and returned as that of the target. The request may have run.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			url := rawServer(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\nno")
			transport := fulmartransport.New(1, nil)
			defer transport.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, http.NoBody)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := transport.RoundTrip(r)
			if err == nil {
				resp.Body.Close()
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(fulmartransport.ErrUnsent))
		})
	}
}
