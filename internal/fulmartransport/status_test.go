package fulmartransport_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
)

// rawServer answers each connection with the text, until the test ends.
func rawServer(t *testing.T, text string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// expectNoAnswer checks that the text is no answer to a request, which may have run.
func expectNoAnswer(t *testing.T, text string) {
	t.Helper()
	g := NewWithT(t)
	url := rawServer(t, text)
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
}

// Guards against an answer whose status is none, which was recorded and returned as that of the target. The request may have run.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			expectNoAnswer(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\nno")
		})
	}
}

// Guards against an answer with a field whose name is none: its line could be to frame the body, which net/http did without it.
func TestFieldNameThatIsNone(t *testing.T) {
	for _, field := range []string{"Bad Name: x", "Bad : x", "Content-Length : 1", "Transfer-Encoding : chunked", "Bad\tName: x", "Bad\x01Name: x", "Bad\x00: x"} {
		t.Run(strconv.Quote(field), func(t *testing.T) {
			expectNoAnswer(t, "HTTP/1.1 200 x\r\n"+field+"\r\n\r\nno")
		})
	}
}
