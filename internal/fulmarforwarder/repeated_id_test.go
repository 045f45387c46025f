package fulmarforwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// copyingTarget refuses the first request that it gets. It executes the other ones, but writes a copy of the refusal before the
// answer to the next request of the same connection.
type copyingTarget struct {
	*target
	refusal string
	refused atomic.Bool
	runs    atomic.Int64
}

func newCopyingTarget(t *testing.T, id, refusal string) *copyingTarget {
	t.Helper()
	c := &copyingTarget{target: &target{id: id}, refusal: refusal}
	c.listener = listen(t, c.serve)
	return c
}

func (c *copyingTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	lateCopy := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer := c.refusal
		if c.refused.Swap(true) {
			c.runs.Add(1)
			answer = lateCopy + "HTTP/1.1 200 x\r\nSign: s\r\nId: " + req.Header.Get("Id") + "\r\nContent-Length: 4\r\n\r\nfrom"
			lateCopy = ""
		} else {
			lateCopy = c.refusal
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// expectServedOnce checks that the answer is that of the only execution of the request.
func (c *copyingTarget) expectServedOnce(g Gomega, a *fulmarhttpserver.Answer) {
	expectStatus(g, a, http.StatusOK)
	g.Expect(c.runs.Load()).To(Equal(int64(1)))
}

// Guards against a refusal of a request that its target has executed: the copy of the refusal of an earlier send of the same id
// was taken for the answer.
func TestRefusalOfExecutedRequest(t *testing.T) {
	for _, status := range []string{"503 x\r\nNot-Run: 1", "429 x\r\nNot-Run: 1", "421 x\r\nNot-Run: 1", "421 x"} {
		refusal := "HTTP/1.1 " + status + "\r\nId: one\r\nContent-Length: 0\r\n\r\n"
		for _, path := range []string{"/f/1", "/k/1"} {
			t.Run(fmt.Sprintf("the caller repeats its id, %.3s, marked %t, %s", status, len(status) > 5, path), func(t *testing.T) {
				g := NewWithT(t)
				x := newCopyingTarget(t, "x", refusal)
				f := start(t, false, x.target)
				expectStatus(g, f.forwarder.Serve(t.Context(), request(t, path, "body", "Key", "7")), http.StatusServiceUnavailable)
				x.expectServedOnce(g, f.forwarder.Serve(t.Context(), request(t, path, "body", "Key", "7")))
			})
		}
		t.Run(fmt.Sprintf("two entries with one address, %.3s, marked %t", status, len(status) > 5), func(t *testing.T) {
			g := NewWithT(t)
			x := newCopyingTarget(t, "x", refusal)
			f := start(t, false, x.target)
			successor := x.entry("free")
			successor.ID = "successor"
			f.views.Update(func(v *fulmarview.View) {
				v.Catalog = fulmarcatalog.New([]fulmarcatalog.Target{x.entry("free"), successor})
			})
			x.expectServedOnce(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "body")))
		})
	}
	t.Run("the key moves to an owner with the same address", func(t *testing.T) {
		g := NewWithT(t)
		x := newCopyingTarget(t, "x", misdirected)
		f := start(t, false, x.target)
		owner, successor := x.entry("keyed"), x.entry("keyed")
		owner.ID, successor.ID = "owner", "successor"
		catalog := fulmarcatalog.New([]fulmarcatalog.Target{owner, successor})
		f.views.Update(func(v *fulmarview.View) { v.Catalog = catalog })
		go func() {
			g.Eventually(x.refused.Load).Should(BeTrue())
			f.views.Update(func(v *fulmarview.View) {
				v.Owners = map[string]fulmarview.Spans{"keyed": {{From: 0, To: fulmarrange.MaxKey, Target: "successor", Ready: true}}}
			})
		}()
		x.expectServedOnce(g, f.forwarder.Serve(t.Context(), request(t, "/k/1", "body", "Key", "7")))
	})
}
