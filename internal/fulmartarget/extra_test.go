package fulmartarget_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmartarget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

const (
	shed     = "HTTP/1.1 503 Service Unavailable\r\nFulmarbend-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	fenced   = "HTTP/1.1 412 Precondition Failed\r\nFulmarbend-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	ran      = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran"
	granted  = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"term\":7}"
	conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 10\r\n\r\n{\"term\":9}"
)

// startCopying returns the address of a target that answers the first request with first, and the second one, on the
// same connection, with a copy of first in front of second. Each answer repeats the id of its exchange.
func startCopying(t *testing.T, first, second string) string {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		id, err := readRequest(r)
		if err != nil {
			return
		}
		first := withID(first, id)
		_, _ = io.WriteString(conn, first)
		if id, err = readRequest(r); err != nil {
			return
		}
		// The copy is not written before the second request has arrived, as net/http closes an idle connection on input.
		_, _ = io.WriteString(conn, first+withID(second, id))
		_, _ = readRequest(r)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-served
	})
	return listener.Addr().String()
}

// readRequest reads a request with its body and returns the id of its exchange.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get(fulmaroutcome.HeaderExchange), err
}

// withID returns the answer with the id of an exchange.
func withID(answer, id string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+fulmaroutcome.HeaderExchange+": "+id+"\r\n", 1)
}

// newClient returns a client with one connection to each target.
func newClient(t *testing.T) *fulmartarget.Client {
	t.Helper()
	c := fulmartarget.New(1, nil)
	t.Cleanup(c.Close)
	return c
}

// Guards against an order that has run but counts as not run, or gets the answer of another order, because the target
// sends an answer twice.
func TestExtraAnswerToOrder(t *testing.T) {
	for _, c := range []struct{ name, first string }{
		{"copy of 503", shed}, {"copy of 412", fenced}, {"copy of an answer that was served", ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			client, address := newClient(t), startCopying(t, c.first, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
			send := func(path string) (string, error) {
				order := fulmartarget.Order{Method: http.MethodPost, Path: path, Term: 7, Deadline: time.Now().Add(2 * time.Second)}
				resp, err := client.Do(context.Background(), address, order)
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				reason, notRun := fulmartarget.NotRun(resp)
				return fmt.Sprint(resp.StatusCode, " ", string(body), reason, notRun), err
			}
			_, err := send("/desk/a")
			g.Expect(err).NotTo(HaveOccurred())
			got, err := send("/desk/b")
			g.Expect(err).To(HaveOccurred(), "the second order has run, but got: %s", got)
			g.Expect(err).NotTo(MatchError(fulmartarget.ErrNotSent))
		})
	}
}

// Guards against a grant that counts as refused although the target has applied it, and the reverse, because the target
// sends an answer twice.
func TestExtraAnswerToGrant(t *testing.T) {
	for _, c := range []struct{ name, first, second string }{
		{"copy of a refusal", conflict, granted}, {"copy of a consent", granted, conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			client, address := newClient(t), startCopying(t, c.first, c.second)
			grant := fulmargrant.Grant{Holder: "a", Term: 7, TTL: time.Second}
			_, _ = client.Grant(context.Background(), address, grant)
			state, err := client.Grant(context.Background(), address, grant)
			var refused *fulmargrant.RefusedError
			g.Expect(err).To(HaveOccurred(), "got the state of the first call: %+v", state)
			g.Expect(err).NotTo(BeAssignableToTypeOf(refused), "%v", err)
		})
	}
}
