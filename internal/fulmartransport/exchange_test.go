package fulmartransport_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
)

const exchange = "Exchange"

// Guards against an answer to another request that is taken for the answer to this one, and against a connection that is
// used further although its answers no longer correspond to its requests.
func TestAnswerWithoutID(t *testing.T) {
	// The longer body is not read in advance, so that its connection is still in use when the answer is rejected.
	for _, c := range []struct {
		name, id string
		size     int
	}{{"no id", "", 0}, {"another id", "1", 0}, {"another id, with a body", "1", 1 << 20}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			repeat, connections := false, map[string]bool{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				connections[r.RemoteAddr] = true
				id := c.id
				if repeat {
					id = r.Header.Get(exchange)
				}
				w.Header().Set(exchange, id)
				_, _ = w.Write(bytes.Repeat([]byte{'x'}, c.size))
			}))
			defer server.Close()
			transport := fulmartransport.New(1, nil)
			defer transport.Close()
			send := func() error {
				r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL, http.NoBody)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := transport.RoundTripWithID(r, exchange)
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				return err
			}
			err := send()
			g.Expect(err).To(MatchError(fulmartransport.ErrForeign))
			g.Expect(err).NotTo(MatchError(fulmartransport.ErrUnsent))
			repeat = true
			// A request that gets the closed connection before net/http has noticed the close is reported as unsent.
			g.Eventually(send).Should(Succeed())
			g.Expect(send()).To(Succeed())
			g.Expect(connections).To(HaveLen(2))
		})
	}
}
