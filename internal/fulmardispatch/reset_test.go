package fulmardispatch_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// sendRaw returns the handler of a target that answers an order with the given start of a head, the id of the exchange and a body
// without a length, before it has read the body of the order, and ends the answer by end.
func sendRaw(start string, end func(*net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n\r\npart", start, fulmaroutcome.HeaderExchange, r.Header.Get(fulmaroutcome.HeaderExchange))
		time.Sleep(20 * time.Millisecond) // lets the answer arrive
		end(conn.(*net.TCPConn))
	}
}

var _ = Describe("an answer without a length that ends during a long upload", func() {
	const (
		uploadSize   = 16 << 20
		parallel     = 8 // the connections to the target
		roundsOfEach = 10
	)
	start := func(f *fixture) chan reply {
		return f.start(background, call{id: newID(), body: io.LimitReader(zeros{}, uploadSize)})
	}

	// Guards against a part of an answer that is relayed and recorded as the whole one, as the target reset the connection.
	DescribeTable("does not look whole if the target resets the connection", func(idempotent bool, status string) {
		f := newFixture(idempotent, parallel)
		f.setTargetHandler(sendRaw(status, func(c *net.TCPConn) { _ = c.SetLinger(0) }))
		for range roundsOfEach {
			var replies []chan reply
			for range parallel {
				replies = append(replies, start(f))
			}
			for _, c := range replies {
				r := <-c
				Expect(r.err != nil || r.outcome == string(fulmaroutcome.Unknown)).To(BeTrue(), "%+v", r)
			}
		}
	},
		Entry("idempotent, 200", true, "200 x"), Entry("at most once, 200", false, "200 x"),
		Entry("idempotent, 500", true, "500 x"), Entry("at most once, 500", false, "500 x"),
	)

	// Guards against an answer that is lost although the target ended it with an orderly close.
	DescribeTable("is served if the target has ended it", func(idempotent bool) {
		f := newFixture(idempotent, parallel)
		f.setTargetHandler(sendRaw("200 x", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}))
		expectServed(<-start(f), "part")
	}, Entry("idempotent", true), Entry("at most once", false))
})
